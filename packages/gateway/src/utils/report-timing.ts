import type { ReportTiming } from '../types/report-timing.ts';
import type { reportPace } from './report-pace.ts';

interface ScaledTime {
  /** Lower bound, in milliseconds, for small deployments, which report often. */
  readonly minMs: number;
  /** Periods of the failure domain that reports least often. */
  readonly periods: number;
}

/** Interval between two reports in a small deployment, in milliseconds. */
const REPORT_PERIOD_MS = 200;
/** Several consecutive reports were lost, or one and the digest that told of another. */
const PEER_TIMEOUT: ScaledTime = { minMs: 1_000, periods: 3.5 };
const RELAY_TIMEOUT: ScaledTime = { minMs: 1_500, periods: 2.5 };
const WORK_TTL: ScaledTime = { minMs: 2_000, periods: 3 };
/** A report to a relay, and its digest. */
const RELAYED_USE_PERIODS = 2;
const BASELINE_TTL: ScaledTime = { minMs: 4_000, periods: 4 };

/** Derives all times from the pace in force, so that none of them is passed by the period of a larger deployment. */
export function reportTiming(pace: ReturnType<typeof reportPace>): ReportTiming {
  const slowestMs = REPORT_PERIOD_MS * (pace?.timeoutFactor ?? 1);
  const scaled = ({ minMs, periods }: ScaledTime): number => Math.max(minMs, periods * slowestMs);
  return {
    periodMs: REPORT_PERIOD_MS * (pace?.intervalFactor ?? 1),
    relayedUseMs: pace ? RELAYED_USE_PERIODS * slowestMs : 0,
    peerTimeoutMs: scaled(PEER_TIMEOUT),
    relayTimeoutMs: scaled(RELAY_TIMEOUT),
    workTtlMs: scaled(WORK_TTL),
    baselineTtlMs: scaled(BASELINE_TTL),
  };
}
