import type { CheckerOptions } from '../types/checker-options.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'leaving-endpoint';
const DEFAULT_LEAVING_ENDPOINT_MS = 5_000;

/**
 * Checks that an endpoint receives no new request once the bound has passed since the first reclaim
 * notice for its VM. Runs of requests that reached the endpoint before then are allowed.
 */
export function leavingEndpoint(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const bound = options.leavingEndpointMs ?? DEFAULT_LEAVING_ENDPOINT_MS;
  const runs = eventsOf(history, 'run');
  const notices = eventsOf(history, 'notice');
  const firstNotices = notices.filter((one) => notices.find(({ vm }) => vm === one.vm) === one);
  return firstNotices.flatMap((notice) => {
    const endpointRuns = runs.filter(({ endpoint }) => endpoint === notice.vm);
    const limit = notice.at + bound;
    const knownIds = new Set(
      endpointRuns.filter(({ at }) => at <= limit).map(({ requestId }) => requestId),
    );
    const late = endpointRuns.filter(({ at, requestId }) => at > limit && !knownIds.has(requestId));
    return late.map((run) => {
      const delay = run.at - notice.at;
      const message = `${notice.vm} received ${run.requestId} ${delay} ms after its notice`;
      return { promise: PROMISE, message, events: [notice, run] };
    });
  });
}
