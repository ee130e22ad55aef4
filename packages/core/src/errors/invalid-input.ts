import { Failure } from './failure.ts';

/** The input does not match its schema; lists every problem found. */
export class InvalidInput extends Failure {
  readonly code = 'invalid-input';
  readonly problems: readonly string[];

  constructor(message: string, problems: readonly string[]) {
    super(message, { status: 400, notRun: true, hint: problems.join('; ') });
    this.problems = problems;
  }
}
