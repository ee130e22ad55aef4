import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'bad-version-bounded';
const DEFAULT_STOP_MS = 5_000;
const DEFAULT_SHARE = 0.1;
const DEFAULT_RUNS = 20;

function findRunsAfterStop(
  shown: EventOf<'version'>,
  runs: readonly EventOf<'run'>[],
  stopMs: number,
) {
  const limit = shown.at + stopMs;
  const knownIds = new Set(runs.filter(({ at }) => at <= limit).map(({ requestId }) => requestId));
  return runs
    .filter(({ at, requestId }) => at > limit && !knownIds.has(requestId))
    .map((run): Violation => {
      const message = `${shown.version} received ${run.requestId} ${run.at - shown.at} ms after its badness was shown`;
      return { promise: PROMISE, message, events: [shown, run] };
    });
}

/**
 * Checks that a version proven bad received at most a bounded number or share of the service's runs
 * since its own first run, and no new requests once the stop time has passed.
 */
export function badVersionBounded(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const stopMs = options.badVersionStopMs ?? DEFAULT_STOP_MS;
  const share = options.badVersionShare ?? DEFAULT_SHARE;
  const allowedRuns = options.badVersionRuns ?? DEFAULT_RUNS;
  const shown = eventsOf(history, 'version').filter(({ state }) => state === 'bad-shown');
  const firstProofs = shown.filter(
    (one) =>
      shown.find(({ service, version }) => service === one.service && version === one.version) ===
      one,
  );
  return firstProofs.flatMap((event) => {
    const serviceRuns = eventsOf(history, 'run').filter((run) => run.service === event.service);
    const versionRuns = serviceRuns.filter((run) => run.version === event.version);
    const start = versionRuns[0]?.at ?? Infinity;
    const end = event.at + stopMs;
    const count = versionRuns.filter(({ at }) => at <= end).length;
    const total = serviceRuns.filter(({ at }) => at >= start && at <= end).length;
    const lateRuns = findRunsAfterStop(event, versionRuns, stopMs);
    if (count <= Math.max(allowedRuns, share * total)) return lateRuns;
    const message = `${event.version} received ${count} of ${total} runs`;
    return [{ promise: PROMISE, message, events: [event] }, ...lateRuns];
  });
}
