import type { FaultKind } from './fault-kind.ts';

/** A fault that was injected. */
export interface FaultSpan {
  readonly kind: FaultKind;
  /** Id of the only node that it affects; undefined if it may affect all. */
  readonly node: string | undefined;
  readonly at: number;
  /** End; infinite while the fault lasts. */
  readonly until: number;
}
