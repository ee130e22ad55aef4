import type { SoftStateEntry } from './soft-state-entry.ts';

/** Soft-state entry whose value has been validated. */
export interface PublishedEntry<Value> extends Omit<SoftStateEntry, 'value'> {
  readonly value: Value;
}
