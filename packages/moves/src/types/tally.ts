/** Number of trials and of the events among them, for example requests and failures. */
export interface Tally {
  readonly trials: number;
  readonly events: number;
}
