import type { InFlightWork } from './in-flight-work.ts';
import type { LoadReport } from './load-report.ts';
import type { RunnerKind } from './runner-kind.ts';
import type { RunnerState } from './runner-state.ts';

/** Snapshot of the data about a runner that routing decisions use. */
export interface RunnerView {
  readonly id: string;
  /** Network address at which the runner serves. */
  readonly endpoint: string;
  readonly failureDomain: string;
  readonly service: string;
  readonly version: string;
  readonly kind: RunnerKind;
  readonly state: RunnerState;
  /** Latest load report; absent until the first one arrives. */
  readonly load?: LoadReport | undefined;
  /** Age of the latest load report in milliseconds; `Infinity` without one. */
  readonly loadAgeMs: number;
  /** Work in flight that this node sent after the latest load report was measured. */
  readonly unreported: InFlightWork;
  /** All work that this node has in flight on the runner. */
  readonly inFlight: InFlightWork;
  /** Estimated prompt tokens processed per second. */
  readonly prefillRate: number;
  /** Estimated duration of one decoding step in milliseconds. */
  readonly decodeStepMs: number;
  /** Estimated mean service time of a request in milliseconds (application runners). */
  readonly serviceTimeMs: number;
  /** Network round-trip time from this node in milliseconds. */
  readonly networkMs: number;
  /** True when the runner's VM has a reclaim notice. */
  readonly leaving: boolean;
  /** True while the runner's circuit breaker does not allow a request. */
  readonly setAside: boolean;
}
