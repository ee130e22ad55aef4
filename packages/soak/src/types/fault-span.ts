import type { FaultKind } from './fault-kind.ts';

/** A fault that was injected. */
export interface FaultSpan {
  readonly kind: FaultKind;
  /** Id of the only node that it affects; undefined if it may affect all. */
  readonly node: string | undefined;
  /** Id of the only runner that it affects. */
  readonly runner?: string | undefined;
  readonly at: number;
  /** End; infinite while the fault lasts. */
  readonly until: number;
}
