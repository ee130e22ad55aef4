import type { FaultKind } from '../types/fault-kind.ts';
import type { FaultSpan } from '../types/fault-span.ts';
import type { ObservedAnswer } from '../types/observed-answer.ts';
import type { SentRequest } from '../types/sent-request.ts';
import type { Violation } from '../types/violation.ts';

interface ObservedRequest {
  readonly request: SentRequest;
  readonly answer: ObservedAnswer | undefined;
  readonly hasRun: boolean;
  /** The log of the node has a line about the request. */
  readonly isLogged: () => boolean;
}

/** Faults that stop nodes: on a busy machine, one may close without having read what has arrived for a while. */
const STOPPING: ReadonlySet<FaultKind> = new Set(['node-stop', 'roll-stop', 'upgrade']);
/** No process has accepted the connection, however long the caller took to see it. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
const HTTP_OK = 200;
/** Statuses of a node that gave up a request which a runner may have run. */
const GIVEN_UP: ReadonlySet<number | undefined> = new Set([500, 502, 504]);
/**
 * Faults that take no request from a sound runner: planned work, an impaired store or API, silences,
 * entries of runners that do not exist, evacuations, and requests of other callers.
 */
const HARMLESS =
  /^(configure|node-stop$|node-reload$|roll-stop$|upgrade$|runner-silent$|runner-drain$|store-(busy|silent|reset|lost|forgets|endless)$|cloud-down$|odd-entry$|domain-evacuated$|caller-)/;
/** Faults that take runners from a node, but no answer from its callers. */
const LOST_LINKS = 'links-';
/** Faults after which processes start again. */
const KILLING: ReadonlySet<FaultKind> = new Set(['node-kill', 'all-kill']);
/** Time from a kill until the node serves again, in milliseconds. */
const RESTART_MS = 5_000;
/** Time after a fault from which the platform's bounds apply, in milliseconds. */
const CONTACT_MS = 3_000;
/** Time after which a request that crosses the close of its connection has been read, in milliseconds. */
const LOSS_SLACK_MS = 200;
/** Time after which the begin of a slow request on a connection in use has been read, in milliseconds. */
const SLOW_READ_MS = 1_000;
/** Lowest timeout of the routes that the soak configures, in milliseconds. */
const MIN_TIMEOUT_MS = 3_000;
/** Share of its time that a request may use beside a change of the configuration. */
const CHANGED_SHARE = 0.7;
/** Time after a change in which it counts as beside a request, in milliseconds. */
const CHANGE_MS = 3_000;
/** Time after a signal in which a node stops: its grace period, and one more second, in milliseconds. */
const STOP_MS = 9_000;

/** Finds requests that ended early although only planned work and silences of sound runners were going on. */
export function findLosses(
  observed: readonly ObservedRequest[],
  faults: readonly FaultSpan[],
): readonly Violation[] {
  return observed.flatMap(({ request, answer, hasRun, isLogged }) => {
    if (answer === undefined || request.crashes !== undefined) return [];
    const isOverlapping = ({ at, until, node }: FaultSpan, afterMs: number): boolean =>
      (node ?? request.node) === request.node && at < answer.at && request.at < until + afterMs;
    const harmful = faults.filter((fault) => {
      if (HARMLESS.test(fault.kind)) return false;
      return isOverlapping(fault, CONTACT_MS + (KILLING.has(fault.kind) ? RESTART_MS : 0));
    });
    if (harmful.some(({ kind }) => !kind.startsWith(LOST_LINKS))) return [];
    const beside = faults.filter((fault) => isOverlapping(fault, CHANGE_MS));
    const isBesideChange = beside.some(({ kind }) => kind.startsWith('configure'));
    const usedMs = answer.at - request.at;
    if (usedMs >= MIN_TIMEOUT_MS * (isBesideChange ? CHANGED_SHARE : 1)) return [];
    const isStopping = faults.some(
      (fault) => STOPPING.has(fault.kind) && isOverlapping(fault, STOP_MS),
    );
    const wasRead =
      hasRun ||
      (request.isSlow === true && answer.isReused === true && usedMs > SLOW_READ_MS) ||
      (usedMs > LOSS_SLACK_MS &&
        answer.error !== CONNECTION_REFUSED &&
        (!isStopping || isLogged()));
    const promise = promiseBroken(request, answer, wasRead);
    // A node that has lost its links answers all the same.
    const mayBeGivenUp = harmful.length > 0 && promise !== 'lost-request';
    if (promise === undefined || mayBeGivenUp) return [];
    const kinds = [...new Set(beside.map(({ kind }) => kind))].join(', ');
    const how = `${String(answer.status ?? answer.error)} after ${usedMs.toFixed(0)} ms`;
    const what = `${request.id} (${request.kind}) at ${request.node}: ${how}`;
    return [{ promise, message: `${what}, ${hasRun ? 'ran' : 'did not run'}, beside ${kinds}` }];
  });
}

/** Name of the promise that an early end breaks. A request that nobody has read may cross a close. */
function promiseBroken(
  { kind }: SentRequest,
  { status, isWhole }: ObservedAnswer,
  wasRead: boolean,
): string | undefined {
  if (status === undefined) return wasRead ? 'lost-request' : undefined;
  if (status === HTTP_OK) return isWhole ? undefined : 'cut-response';
  const isRepeatable = kind === 'read' || kind === 'ask';
  return isRepeatable && GIVEN_UP.has(status) ? 'given-up-request' : undefined;
}
