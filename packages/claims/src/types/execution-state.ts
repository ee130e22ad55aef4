import type { ExecutionOutcome } from './execution-outcome.ts';

/** State of one key at its executor. */
export type ExecutionState = 'reserved' | 'accepted' | 'sending' | 'transferred' | ExecutionOutcome;
