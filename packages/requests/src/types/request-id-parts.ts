/** Components of a request id. */
export interface RequestIdParts {
  readonly owner: string;
  readonly incarnation: number;
  /** Node with the first replica; `undefined` when there was none at acceptance. */
  readonly holder: string | undefined;
  readonly serial: string;
}
