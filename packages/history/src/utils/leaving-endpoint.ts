import type { CheckerOptions } from '../types/checker-options.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';

const PROMISE = 'leaving-endpoint';
const DEFAULT_LEAVING_ENDPOINT_MS = 5_000;

/** An endpoint receives no new request later than the bound after the first notice for its VM. */
export function leavingEndpoint(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const bound = options.leavingEndpointMs ?? DEFAULT_LEAVING_ENDPOINT_MS;
  const runs = eventsOf(history, 'run');
  const notices = eventsOf(history, 'notice');
  const first = notices.filter((one) => notices.find(({ vm }) => vm === one.vm) === one);
  return first.flatMap((notice) => {
    const here = runs.filter(({ endpoint }) => endpoint === notice.vm);
    const limit = notice.at + bound;
    const known = new Set(here.filter(({ at }) => at <= limit).map(({ requestId }) => requestId));
    const late = here.filter(({ at, requestId }) => at > limit && !known.has(requestId));
    return late.map((run) => {
      const delay = run.at - notice.at;
      const message = `${notice.vm} received ${run.requestId} ${delay} ms after its notice`;
      return { promise: PROMISE, message, events: [notice, run] };
    });
  });
}
