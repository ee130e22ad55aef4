import { Failure } from './failure.ts';

interface CallFailureOptions {
  /** Code of the system error, or one of this project. */
  readonly reason: string;
  readonly message: string;
  /** Nothing was written to a connection. */
  readonly notRun?: boolean;
  readonly cause?: unknown;
}

/** An HTTP call ended without a whole response. */
export class CallFailure extends Failure {
  readonly code = 'http-call-failed';
  readonly reason: string;

  constructor({ reason, message, notRun = false, cause }: CallFailureOptions) {
    super(message, { status: 502, notRun, cause });
    this.reason = reason;
  }

  /** The call took longer than its time-out. */
  get isTimeout(): boolean {
    return this.reason === 'timeout' || this.reason === 'connect-timeout';
  }
}
