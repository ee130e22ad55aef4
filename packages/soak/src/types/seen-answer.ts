/** Answer as a caller saw it. */
export interface SeenAnswer {
  readonly id: string;
  /** Undefined when the connection ended without a status. */
  readonly status: number | undefined;
  readonly signature: string | undefined;
  readonly body: string;
  /** The answer arrived to its end, as framed. */
  readonly isWhole: boolean;
  readonly at: number;
}
