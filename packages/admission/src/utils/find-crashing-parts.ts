import type { CrashHistory } from '../types/crash-history.ts';
import type { InterruptedRequest } from '../types/interrupted-request.ts';
import { isRepeatKey } from './is-repeat-key.ts';

interface CrashingPart {
  readonly part: string;
  /** The evidence does not tell the part from others that are reported with it. */
  readonly isAmbiguous: boolean;
}

/** End of a boot of a runner, with the requests that it was working on. */
interface Crash {
  readonly at: number;
  readonly interrupted: readonly InterruptedRequest[];
}

/** Runners that ended at the same time. */
interface CrashEvent {
  readonly at: number;
  readonly crashes: readonly Crash[];
}

interface Threshold {
  /** Minimum number of events. */
  readonly events: number;
  /** Minimum number of distinct requests. */
  readonly requests: number;
  /** Minimum share of the events meanwhile; several causes may end runners at a time. */
  readonly share: number;
}

interface Suspect {
  readonly part: string;
  readonly firstAt: number;
  /** Number of crashes, or of events, in which the part was present. */
  readonly events: number;
}

/** Runners that end within this time may have a common cause, such as the loss of a rack. */
const COMMON_CAUSE_MS = 100;
/**
 * The same for the ends of runners to which a request was sent one after the other: a rack may be lost over
 * such a time, while its requests are sent on within it.
 */
const COMMON_CAUSE_OF_REPEATS_MS = 150;
/** Gap between two interruptions at a runner that are due to two crashes: its next boot may have its name. */
const NEXT_CRASH_MS = 500;
/** Share of the runners of an event at which a prompt part must have been present. */
const RUNNER_SHARE = 0.5;
/** Evidence that is needed against a whole request, which may come again. */
const REPEATED = { runners: 3, events: 2, share: 0.1 };
/** Evidence that is needed from requests whose responses had begun. */
const RESPONDING: Threshold = { events: 3, requests: 3, share: 0.4 };
/** Evidence that is needed from all interrupted requests, most of which were waiting by chance. */
const WAITING: Threshold = { events: 6, requests: 5, share: 0.2 };
/** Requests without a new part that must have been served: otherwise the service has never worked. */
const MIN_SERVED = 20;
/** Requests without a part that must have been served meanwhile if the part used to be served. */
const MIN_SERVED_IF_KNOWN = 30;
/** Accepted probability that a part that used to be served is missing from them by chance. */
const MAX_CHANCE = 0.001;
/** Events from which parts that are equally suspicious are all reported. */
const MIN_EVENTS_IF_AMBIGUOUS = 6;

/**
 * Finds the whole requests and the prompt parts that crash runners: runners ended, one after the other,
 * under the same request, or under different requests with the part, none of which was served, while
 * requests without it were. What a part or a request explains is no evidence against others, so that
 * several causes are found at a time.
 */
export function findCrashingParts(history: CrashHistory): readonly CrashingPart[] {
  const found: CrashingPart[] = [];
  let rest = history;
  for (;;) {
    const parts = findNext(rest);
    if (parts.length === 0) return found;
    found.push(...parts.map((part) => ({ part, isAmbiguous: parts.length > 1 })));
    rest = withoutExplained(rest, new Set(parts));
  }
}

/** The parts and requests that the most crashes point to. */
function findNext(history: CrashHistory): readonly string[] {
  const repeated = findRepeated(history, (key) => !isKnown(key, history));
  if (repeated.length > 0) return repeated;
  const { interrupted, explainedByRequests } = history;
  const responding = interrupted.filter(({ hasResponded }) => hasResponded);
  const found = findAmong(responding, RESPONDING, eventsOf(interrupted), history);
  if (found.length > 0) return found;
  // Requests with a crashing part may each be found to crash runners, too, and explain them before it does.
  const all = [...interrupted, ...explainedByRequests];
  const waiting = findAmong(all, WAITING, eventsOf(all), history);
  if (waiting.length > 0) return waiting;
  return findRepeated(history, (key) => isKnown(key, history));
}

/** The history with the crashes that `parts` explain set apart. */
function withoutExplained(history: CrashHistory, parts: ReadonlySet<string>): CrashHistory {
  const isCause = (request: InterruptedRequest): boolean =>
    request.parts.some((part) => parts.has(part));
  const all = [...history.interrupted, ...history.explainedByRequests];
  const boots = new Set(all.filter(isCause).map(({ runner }) => runner));
  const isExplained = ({ runner }: InterruptedRequest): boolean => boots.has(runner);
  const isByRequest = [...parts].every(isRepeatKey);
  const moved = history.interrupted.filter(isExplained);
  return {
    ...history,
    interrupted: history.interrupted.filter((request) => !isExplained(request)),
    explained: [...history.explained, ...moved].filter((request) => !isCause(request)),
    explainedByRequests: isByRequest
      ? [...history.explainedByRequests, ...moved]
      : history.explainedByRequests.filter((request) => !isExplained(request)),
  };
}

/**
 * Finds whole requests under which runners ended, counting also crashes that another one explains: several
 * that end runners often meet. One that used to be served may only accompany them, and is not blamed for
 * crashes that others explain. A sound request that was sent on to the same runners cannot be told from
 * them until one of them is interrupted or served again.
 */
function findRepeated(
  history: CrashHistory,
  isIncluded: (key: string) => boolean,
): readonly string[] {
  const all = [...history.interrupted, ...history.explained];
  const events = eventsOf(all, COMMON_CAUSE_OF_REPEATS_MS);
  const unexplained = new Set(history.interrupted);
  const isSuspect = (part: string): boolean => isRepeatKey(part) && isIncluded(part);
  const suspects = [...groupByPart(all, history, isSuspect)].flatMap(([part, requests]) => {
    // A runner that resets responses and lives on may do so again and again.
    if (new Set(requests.map(({ runner }) => runner)).size < REPEATED.runners) return [];
    if (isKnown(part, history) && !requests.some((request) => unexplained.has(request))) return [];
    const present = new Set(requests);
    const meanwhile = eventsBetween(events, present);
    const crashes = meanwhile.map((event) => presentIn(event, present).length);
    const own = crashes.filter((count) => count > 0);
    const isEnough =
      own.length >= REPEATED.events && own.length >= REPEATED.share * meanwhile.length;
    if (!isEnough) return [];
    const firstAt = Math.min(...requests.map(({ at }) => at));
    return [{ part, firstAt, events: own.reduce((sum, count) => sum + count, 0) }];
  });
  return mostSuspicious(suspects);
}

/** Events from the first to the last one at which one of the requests was present. */
function eventsBetween(
  events: readonly CrashEvent[],
  requests: ReadonlySet<InterruptedRequest>,
): readonly CrashEvent[] {
  const isPresent = (event: CrashEvent): boolean => presentIn(event, requests).length > 0;
  return events.slice(events.findIndex(isPresent), events.findLastIndex(isPresent) + 1);
}

/** Crashes of an event at which one of the requests was present. */
function presentIn(
  { crashes }: CrashEvent,
  requests: ReadonlySet<InterruptedRequest>,
): readonly Crash[] {
  return crashes.filter(({ interrupted }) => interrupted.some((item) => requests.has(item)));
}

function findAmong(
  interrupted: readonly InterruptedRequest[],
  threshold: Threshold,
  events: readonly CrashEvent[],
  history: CrashHistory,
): readonly string[] {
  const isPart = (part: string): boolean => !isRepeatKey(part);
  const suspects = [...groupByPart(interrupted, history, isPart)].flatMap(([part, requests]) => {
    const suspect = suspectOf(part, requests, threshold, events);
    return suspect ? [suspect] : [];
  });
  // Parts that have never been served come first: known ones may only accompany them.
  const unknown = suspects.filter(({ part }) => !isKnown(part, history));
  const missing = (unknown.length > 0 ? unknown : suspects).filter((suspect) =>
    isMissing(suspect, history),
  );
  const parts = mostSuspicious(missing);
  const mostEvents = Math.max(0, ...missing.map((suspect) => suspect.events));
  return parts.length > 1 && mostEvents < MIN_EVENTS_IF_AMBIGUOUS ? [] : parts;
}

/** Suspects that were present at the most events, in alphabetical order. */
function mostSuspicious(suspects: readonly Suspect[]): readonly string[] {
  const mostEvents = Math.max(0, ...suspects.map(({ events }) => events));
  return suspects
    .filter(({ events }) => events === mostEvents)
    .map(({ part }) => part)
    .toSorted();
}

/**
 * Interruptions by the boot that ended. The last one tells the time of the crash: responses may have ended
 * a moment before it.
 */
function crashesOf(interrupted: readonly InterruptedRequest[]): readonly Crash[] {
  const crashes = new Map<string, Crash[]>();
  for (const request of interrupted.toSorted((a, b) => a.at - b.at)) {
    const { runner, at } = request;
    const known = crashes.get(runner) ?? [];
    const last = known.at(-1);
    if (last && at - last.at < NEXT_CRASH_MS) {
      known[known.length - 1] = { at, interrupted: [...last.interrupted, request] };
    } else known.push({ at, interrupted: [request] });
    crashes.set(runner, known);
  }
  return [...crashes.values()].flat();
}

function eventsOf(
  interrupted: readonly InterruptedRequest[],
  commonCauseMs = COMMON_CAUSE_MS,
): readonly CrashEvent[] {
  const events: CrashEvent[] = [];
  for (const crash of crashesOf(interrupted).toSorted((a, b) => a.at - b.at)) {
    const event = events.at(-1);
    if (event && crash.at - event.at < commonCauseMs) {
      events[events.length - 1] = { ...event, crashes: [...event.crashes, crash] };
    } else events.push({ at: crash.at, crashes: [crash] });
  }
  return events;
}

/** Interrupted requests by part, without those from before the part was last served. */
function groupByPart(
  interrupted: readonly InterruptedRequest[],
  { servedAt }: CrashHistory,
  isIncluded: (part: string) => boolean,
): ReadonlyMap<string, readonly InterruptedRequest[]> {
  const byPart = new Map<string, InterruptedRequest[]>();
  for (const request of interrupted) {
    for (const part of request.parts) {
      if (!isIncluded(part) || servedAt(part) >= request.at) continue;
      const known = byPart.get(part);
      if (known) known.push(request);
      else byPart.set(part, [request]);
    }
  }
  return byPart;
}

/** Whether the part may be the cause of the events in its time. */
function suspectOf(
  part: string,
  interrupted: readonly InterruptedRequest[],
  threshold: Threshold,
  events: readonly CrashEvent[],
): Suspect | undefined {
  const requests = new Set(interrupted.map(({ request }) => request)).size;
  if (requests < threshold.requests) return undefined;
  const present = new Set(interrupted);
  const meanwhile = eventsBetween(events, present);
  const explained = meanwhile.filter(
    (event) => presentIn(event, present).length >= RUNNER_SHARE * event.crashes.length,
  );
  if (explained.length < threshold.events) return undefined;
  if (explained.length < threshold.share * meanwhile.length) return undefined;
  const firstAt = Math.min(...interrupted.map(({ at }) => at));
  return { part, firstAt, events: explained.length };
}

/**
 * Whether the part would be among the served requests if it did not crash runners. For a part that
 * used to be served, so many must have been served since the first crash that its absence is no
 * chance.
 */
function isMissing({ part, firstAt }: Suspect, history: CrashHistory): boolean {
  const { served, servedCount } = history;
  if (!isKnown(part, history)) return servedCount >= MIN_SERVED;
  const since = served.filter(({ at }) => at >= firstAt).length;
  const before = served.filter(({ at }) => at < firstAt);
  const withPart = before.filter(({ parts }) => parts.includes(part)).length;
  const chance = (1 - withPart / Math.max(1, before.length)) ** since;
  return since >= MIN_SERVED_IF_KNOWN && chance <= MAX_CHANCE;
}

function isKnown(part: string, { servedAt }: CrashHistory): boolean {
  return servedAt(part) > -Infinity;
}
