/** Trials and events of one kind, for example failures. */
export interface Tally {
  readonly trials: number;
  readonly events: number;
}
