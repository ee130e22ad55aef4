import type { CheckerOptions } from './checker-options.ts';
import type { History } from './history.ts';
import type { Violation } from './violation.ts';

/** Checks a history against one promise and returns every violation found. */
export type Checker = (history: History, options?: CheckerOptions) => readonly Violation[];
