import type { FaultCondition } from './fault-condition.ts';

/** Faults of an application runner; each POST replaces the whole fault. */
export interface ApplicationFault {
  /**
   * `fail` answers 500 without the effect, `fail-after` with it; `refuse` answers 422 without it; `slow` works for
   * `delayMs` longer; `reply-lost` destroys the connection after the effect; `reply-late` answers `delayMs` after the
   * effect; `not-run` answers 503 without the effect; `hang` never answers and has no effect; `hang-after` has it.
   * @default 'ok'
   */
  readonly mode?:
    | 'ok'
    | 'fail'
    | 'fail-after'
    | 'refuse'
    | 'slow'
    | 'reply-lost'
    | 'reply-late'
    | 'not-run'
    | 'hang'
    | 'hang-after'
    | undefined;
  /** @default 1000 */
  readonly delayMs?: number | undefined;
  /**
   * Share of operations that meet the fault.
   * @default 1
   */
  readonly rate?: number | undefined;
  /** Number of operations that meet the fault; without it the fault lasts until replaced. */
  readonly count?: number | undefined;
  readonly condition?: FaultCondition | undefined;
  /** True reports that the VM of the runner is leaving; kept until replaced by false. */
  readonly leaving?: boolean | undefined;
  /** True refuses connections and destroys the open ones; kept until replaced by false. */
  readonly refuse?: boolean | undefined;
}
