import type { DutyTermStore } from '../node/duty-term-store.ts';

/** Periodic task that only the holder of the duty term performs. */
export interface Duty {
  /** Called once when this node has acquired a term. */
  begin(termStore: DutyTermStore): void;
  /** Called periodically while this node holds the term. */
  perform(termStore: DutyTermStore): Promise<void>;
}
