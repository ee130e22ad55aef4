import { Failure, InvalidInput } from '@ragwortrudder/core';

/** Returns a failure in the JSON form of `--json`. */
export function failureJson(error: unknown): unknown {
  if (!(error instanceof Failure)) {
    return { error: { code: 'internal-fault', message: String(error) } };
  }
  const { code, message, hint, retryable, notRun, retryAfterMs } = error;
  const problems = error instanceof InvalidInput ? { problems: error.problems } : {};
  return { error: { code, message, hint, retryable, notRun, retryAfterMs, ...problems } };
}
