import type { OutcomeWord } from './outcome-word.ts';

/** State of one key at its executor. */
export type ExecutionState = 'reserved' | 'accepted' | 'sending' | 'transferred' | OutcomeWord;
