import { Failure } from '@ragwortrudder/core';
import type { ExecutionState } from '../types/execution-state.ts';

/** A step of an execution was asked for in a state that does not allow it. */
export class ExecutionOutOfOrder extends Failure {
  readonly code = 'execution-out-of-order';

  constructor(key: string, from: ExecutionState | 'absent', to: ExecutionState) {
    super(`key ${key} cannot go from ${from} to ${to}`);
  }
}
