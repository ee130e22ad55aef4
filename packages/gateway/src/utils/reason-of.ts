/** Cause of a failure, for a line of the log. */
export function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
