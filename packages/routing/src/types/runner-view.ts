import type { InFlightWork } from './in-flight-work.ts';
import type { LoadReport } from './load-report.ts';
import type { RunnerKind } from './runner-kind.ts';
import type { RunnerState } from './runner-state.ts';

/** Everything that a routing decision may know about a runner, at one instant. */
export interface RunnerView {
  readonly id: string;
  /** Network address at which the runner serves. */
  readonly endpoint: string;
  readonly failureDomain: string;
  readonly service: string;
  readonly version: string;
  readonly kind: RunnerKind;
  readonly state: RunnerState;
  /** Last load report; absent until the first one arrives. */
  readonly load?: LoadReport | undefined;
  /** Age of the last load report in milliseconds; `Infinity` without one. */
  readonly loadAgeMs: number;
  /** Work that this node sent since the last load report and that is still in flight. */
  readonly unreported: InFlightWork;
  /** All work of this node that is in flight on the runner. */
  readonly inFlight: InFlightWork;
  /** Learned prompt tokens per second. */
  readonly prefillRate: number;
  /** Learned time of one decoding step in milliseconds. */
  readonly decodeStepMs: number;
  /** Learned mean service time of a request in milliseconds (application runners). */
  readonly serviceTimeMs: number;
  /** Round trip from this node in milliseconds. */
  readonly networkMs: number;
  /** True when the runner's VM has a reclaim notice. */
  readonly leaving: boolean;
  /** True while the runner's circuit keeps it out of use. */
  readonly setAside: boolean;
}
