import { Failure } from '@ragwortrudder/core';
import type { ExecutionState } from '../types/execution-state.ts';

/** A state transition of an execution was requested that its current state does not allow. */
export class ExecutionOutOfOrder extends Failure {
  readonly code = 'execution-out-of-order';

  constructor(key: string, from: ExecutionState | 'absent', to: ExecutionState) {
    super(`key ${key} cannot go from ${from} to ${to}`);
  }
}
