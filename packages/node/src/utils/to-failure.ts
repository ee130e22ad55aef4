import { Failure } from '@ragwortrudder/core';
import { InternalFault } from '../errors/internal-fault.ts';

/** Returns `error` if it has a type of this system, else wraps it. */
export function toFailure(error: unknown): Failure {
  return error instanceof Failure ? error : new InternalFault(error);
}
