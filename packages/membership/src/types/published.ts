import type { SoftStateEntry } from './soft-state-entry.ts';

/** Entry of a soft state with its checked value. */
export interface Published<Value> extends Omit<SoftStateEntry, 'value'> {
  readonly value: Value;
}
