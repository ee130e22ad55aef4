/** Exit codes of the command line; documented in `docs/operate/exit-codes.md`. */
export const ExitCode = {
  ok: 0,
  /** A defect, or a failure that has no code of its own. */
  fault: 1,
  /** The command line is wrong, or no key was given. */
  usage: 2,
  /** A file cannot be read, or its content is not valid. */
  invalid: 3,
  /** A node refused the call, or the request failed. */
  refused: 4,
  /** No node answered. */
  unreachable: 5,
  /** The time given was over first. */
  timeout: 6,
  /** A version move was taken back. */
  undone: 7,
  /** Nothing proves whether a non-idempotent request ran. */
  unknown: 8,
  /** The node cannot listen at its addresses. */
  listen: 9,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
