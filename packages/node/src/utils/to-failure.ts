import { Failure } from '@ragwortrudder/core';
import { InternalFault } from '../errors/internal-fault.ts';

/** Returns `error` if it is a `Failure`, else wraps it in an {@link InternalFault}. */
export function toFailure(error: unknown): Failure {
  return error instanceof Failure ? error : new InternalFault(error);
}
