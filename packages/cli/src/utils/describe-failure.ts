import { Failure, InvalidInput } from '@ragwortrudder/core';

/** Formats a failure as human-readable text; only untyped errors include a stack trace. */
export function describeFailure(error: unknown): string {
  if (!(error instanceof Failure)) {
    return `internal error: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`;
  }
  const lines = [`error: ${error.message} [${error.code}]`];
  if (error instanceof InvalidInput) lines.push(...error.problems.map((text) => `  - ${text}`));
  else if (error.hint !== '') lines.push(`  ${error.hint}`);
  return `${lines.join('\n')}\n`;
}
