import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'bad-version-bounded';
const DEFAULT_STOP_MS = 5_000;
const DEFAULT_SHARE = 0.1;
const DEFAULT_RUNS = 20;

function checkStop(shown: EventOf<'version'>, runs: readonly EventOf<'run'>[], stopMs: number) {
  const limit = shown.at + stopMs;
  const known = new Set(runs.filter(({ at }) => at <= limit).map(({ requestId }) => requestId));
  return runs
    .filter(({ at, requestId }) => at > limit && !known.has(requestId))
    .map((run): Violation => {
      const message = `${shown.version} received ${run.requestId} ${run.at - shown.at} ms after its badness was shown`;
      return { promise: PROMISE, message, events: [shown, run] };
    });
}

/**
 * A version whose badness is shown received a bounded number or share of the service's runs since
 * its own first run, and nothing new once the stop time has passed.
 */
export function badVersionBounded(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const stopMs = options.badVersionStopMs ?? DEFAULT_STOP_MS;
  const share = options.badVersionShare ?? DEFAULT_SHARE;
  const freeRuns = options.badVersionRuns ?? DEFAULT_RUNS;
  const shown = eventsOf(history, 'version').filter(({ state }) => state === 'bad-shown');
  const first = shown.filter(
    (one) =>
      shown.find(({ service, version }) => service === one.service && version === one.version) ===
      one,
  );
  return first.flatMap((event) => {
    const service = eventsOf(history, 'run').filter((run) => run.service === event.service);
    const own = service.filter((run) => run.version === event.version);
    const start = own[0]?.at ?? Infinity;
    const end = event.at + stopMs;
    const count = own.filter(({ at }) => at <= end).length;
    const total = service.filter(({ at }) => at >= start && at <= end).length;
    const stops = checkStop(event, own, stopMs);
    if (count <= Math.max(freeRuns, share * total)) return stops;
    const message = `${event.version} received ${count} of ${total} runs`;
    return [{ promise: PROMISE, message, events: [event] }, ...stops];
  });
}
