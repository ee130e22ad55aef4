import type { OutcomeWord } from './outcome-word.ts';

/** State of one key in the table of its executor. */
export type ExecutionState = 'reserved' | 'accepted' | 'sending' | 'transferred' | OutcomeWord;
