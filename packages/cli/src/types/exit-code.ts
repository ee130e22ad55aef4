/** Exit codes of the command line; documented in `docs/operate/exit-codes.md`. */
export const ExitCode = {
  ok: 0,
  /** An internal error, or a failure without an exit code of its own. */
  fault: 1,
  /** The command line is invalid, or no key was given. */
  usage: 2,
  /** A file cannot be read, or its content is invalid. */
  invalid: 3,
  /** A node refused the call, or the request failed. */
  refused: 4,
  /** No node answered. */
  unreachable: 5,
  /** The time limit was exceeded. */
  timeout: 6,
  /** A version move was rolled back. */
  undone: 7,
  /** It is unknown whether a non-idempotent request was executed. */
  unknown: 8,
  /** The node cannot listen on its addresses. */
  listen: 9,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
