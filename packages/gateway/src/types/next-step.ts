/** What to do after an attempt has ended. */
export type NextStep =
  /** Send the request to another runner. */
  | 'retry'
  /** Wait for the other attempt that is in progress. */
  | 'wait'
  /** Forward the response. */
  | 'answer'
  /** Refuse the request: it has not been executed. */
  | 'refuse'
  /** Report an unknown outcome, or abort a response that has already started. */
  | 'fail'
  /** The request is finished. */
  | 'done';
