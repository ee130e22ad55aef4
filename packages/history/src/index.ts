export { HistoryEvent } from './types/history-event.ts';
export type { Checker } from './types/checker.ts';
export type { CheckerOptions } from './types/checker-options.ts';
export type { History } from './types/history.ts';
export type { Violation } from './types/violation.ts';
