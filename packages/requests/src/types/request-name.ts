/** Components of a request id. */
export interface RequestName {
  readonly owner: string;
  readonly incarnation: number;
  /** Node with the first replica; `undefined` when there was none at acceptance. */
  readonly holder: string | undefined;
  readonly serial: string;
}
