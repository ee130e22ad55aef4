import type { HistoryEvent } from './history-event.ts';

/** A violation of a promise, found in a history. */
export interface Violation {
  readonly promise: string;
  readonly message: string;
  /** The events that prove the violation. */
  readonly events: readonly HistoryEvent[];
}
