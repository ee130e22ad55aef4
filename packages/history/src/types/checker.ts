import type { CheckerOptions } from './checker-options.ts';
import type { History } from './history.ts';
import type { Violation } from './violation.ts';

/** Judges a history against one promise. */
export type Checker = (history: History, options?: CheckerOptions) => readonly Violation[];
