import type { LinkFailure } from '@ragwortrudder/routing';
import { ConnectTimedOut } from '../errors/connect-timed-out.ts';

const SYSTEM_TIMED_OUT = 'ETIMEDOUT';

/** Tells from the error of a connection that could not be opened whether anything had answered. */
export function linkFailureOf(error: NodeJS.ErrnoException): LinkFailure {
  const isTimedOut = error instanceof ConnectTimedOut || error.code === SYSTEM_TIMED_OUT;
  return isTimedOut ? 'silent' : 'refused';
}
