import type { HistoryEvent } from './history-event.ts';

/** One breach of a promise found in a history. */
export interface Violation {
  readonly promise: string;
  readonly message: string;
  /** The events that prove the breach. */
  readonly events: readonly HistoryEvent[];
}
