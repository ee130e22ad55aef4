/** A response as observed by its caller. */
export interface ObservedAnswer {
  readonly id: string;
  /** Undefined when the connection ended without a status. */
  readonly status: number | undefined;
  readonly signature: string | undefined;
  readonly body: string;
  /** Whether the response arrived completely according to its HTTP framing. */
  readonly isWhole: boolean;
  /** Code of the error that the connection ended with, if any. */
  readonly error?: string | undefined;
  /** The connection had been used for an earlier request. */
  readonly isReused?: boolean;
  readonly at: number;
}
