/** Status line and fields of a response, as the HTTP parser hands them over. */
export interface ReceivedHead {
  readonly httpVersionMajor: number;
  readonly statusCode?: number | undefined;
  /** Reason phrase of the status line. */
  readonly statusMessage?: string | undefined;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
}
