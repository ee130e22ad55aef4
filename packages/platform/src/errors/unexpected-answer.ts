import { Failure } from '@ragwortrudder/core';

/** The platform's answer does not match the expected schema. */
export class UnexpectedAnswer extends Failure {
  readonly code = 'unexpected-answer';
  readonly problems: readonly string[];

  constructor(message: string, problems: readonly string[] = []) {
    super(message, { status: 502, retryable: true, hint: problems.join('; ') });
    this.problems = problems;
  }
}
