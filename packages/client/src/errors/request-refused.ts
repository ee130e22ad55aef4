import { Failure } from '@ragwortrudder/core';
import type { Problem } from '../types/problem.ts';

/** A node refused the request, or interrupted its answer with a problem. */
export class RequestRefused extends Failure {
  readonly code: string;

  constructor(problem: Problem) {
    const { status, retryable, notRun, retryAfterMs } = problem;
    super(problem.title, {
      status,
      hint: problem.detail,
      retryable,
      notRun,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
    this.code = problem.code;
  }
}
