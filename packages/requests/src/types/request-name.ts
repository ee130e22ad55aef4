/** Parts of a request id. */
export interface RequestName {
  readonly owner: string;
  readonly incarnation: number;
  /** Node that holds the first replica, if there was one at acceptance. */
  readonly holder: string | undefined;
  readonly serial: string;
}
