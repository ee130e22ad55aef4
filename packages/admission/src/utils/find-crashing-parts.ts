import type { CrashHistory } from '../types/crash-history.ts';
import type { InterruptedRequest } from '../types/interrupted-request.ts';
import { isRepeatKey } from './is-repeat-key.ts';

interface CrashingParts {
  readonly parts: readonly string[];
  /** The evidence does not tell the parts from each other. */
  readonly isAmbiguous: boolean;
}

/** Runners that ended at the same time, with the requests that they were working on. */
interface CrashEvent {
  readonly at: number;
  readonly interrupted: readonly InterruptedRequest[];
}

interface Threshold {
  /** Minimum number of events. */
  readonly events: number;
  /** Minimum number of distinct requests. */
  readonly requests: number;
  /** Minimum share of the events meanwhile; several causes may end runners at a time. */
  readonly share: number;
  /** Minimum share of the runners of an event at which the part was present. */
  readonly runnerShare: number;
}

interface Suspect {
  readonly part: string;
  readonly firstAt: number;
  /** Number of events in which the part was present at most of the runners that ended. */
  readonly events: number;
}

/** Runners that end within this time may have a common cause, such as the loss of a rack. */
const COMMON_CAUSE_MS = 100;
/** Evidence that is needed against a whole request, which may come again. */
const REPEATED: Threshold = { events: 3, requests: 1, share: 0.1, runnerShare: 0 };
/** Evidence that is needed from requests whose responses had begun. */
const RESPONDING: Threshold = { events: 3, requests: 3, share: 0.4, runnerShare: 0.5 };
/** Evidence that is needed from all interrupted requests, most of which were waiting by chance. */
const WAITING: Threshold = { events: 6, requests: 5, share: 0.4, runnerShare: 0.5 };
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
 * requests without it were.
 */
export function findCrashingParts(history: CrashHistory): CrashingParts {
  const repeated = findRepeated(history, (key) => !isKnown(key, history));
  if (repeated.parts.length > 0) return repeated;
  const { interrupted } = history;
  const events = crashEventsOf(interrupted);
  const responding = interrupted.filter(({ hasResponded }) => hasResponded);
  const found = findAmong(responding, RESPONDING, events, history);
  if (found.parts.length > 0) return found;
  const waiting = findAmong(interrupted, WAITING, events, history);
  if (waiting.parts.length > 0) return waiting;
  return findRepeated(history, (key) => isKnown(key, history));
}

/**
 * Finds whole requests under which runners ended, also where another one explains the crashes: several
 * that end runners often meet. One that used to be served may only accompany them, and is not blamed for
 * crashes that others explain. A sound request that was sent on to the same runners cannot be told from
 * them until one of them is interrupted or served again.
 */
function findRepeated(history: CrashHistory, isIncluded: (key: string) => boolean): CrashingParts {
  const all = [...history.interrupted, ...history.explained];
  const events = crashEventsOf(all);
  const isSuspect = (part: string): boolean => isRepeatKey(part) && isIncluded(part);
  const suspects = [...groupByPart(all, history, isSuspect)].flatMap(([part, requests]) => {
    const suspect = suspectOf(part, requests, REPEATED, events);
    if (!suspect || countRunners(requests) < REPEATED.events) return [];
    return isKnown(part, history) && isExplained(requests, history) ? [] : [suspect];
  });
  const parts = mostSuspicious(suspects);
  return { parts, isAmbiguous: parts.length > 1 };
}

/** Whether a known part or request explains each crash under a request. */
function isExplained(
  requests: readonly InterruptedRequest[],
  { interrupted }: CrashHistory,
): boolean {
  return !requests.some((request) => interrupted.includes(request));
}

function findAmong(
  interrupted: readonly InterruptedRequest[],
  threshold: Threshold,
  events: readonly CrashEvent[],
  history: CrashHistory,
): CrashingParts {
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
  const isAmbiguous = parts.length > 1;
  const mostEvents = Math.max(0, ...missing.map((suspect) => suspect.events));
  if (isAmbiguous && mostEvents < MIN_EVENTS_IF_AMBIGUOUS) return { parts: [], isAmbiguous };
  return { parts, isAmbiguous };
}

/** Suspects that were present at the most events, in alphabetical order. */
function mostSuspicious(suspects: readonly Suspect[]): readonly string[] {
  const mostEvents = Math.max(0, ...suspects.map(({ events }) => events));
  return suspects
    .filter(({ events }) => events === mostEvents)
    .map(({ part }) => part)
    .toSorted();
}

function crashEventsOf(interrupted: readonly InterruptedRequest[]): readonly CrashEvent[] {
  const events: CrashEvent[] = [];
  for (const request of interrupted.toSorted((a, b) => a.at - b.at)) {
    const event = events.at(-1);
    if (event && request.at - event.at < COMMON_CAUSE_MS) {
      events[events.length - 1] = { ...event, interrupted: [...event.interrupted, request] };
    } else events.push({ at: request.at, interrupted: [request] });
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
  const times = interrupted.map(({ at }) => at);
  const firstAt = Math.min(...times);
  const lastAt = Math.max(...times);
  const meanwhile = events.filter(({ at }) => at > firstAt - COMMON_CAUSE_MS && at <= lastAt);
  const explained = meanwhile.filter((event) =>
    explains(interrupted, event, threshold.runnerShare),
  );
  if (explained.length < threshold.events) return undefined;
  if (explained.length < threshold.share * meanwhile.length) return undefined;
  return { part, firstAt, events: explained.length };
}

function explains(
  requests: readonly InterruptedRequest[],
  { interrupted }: CrashEvent,
  runnerShare: number,
): boolean {
  const present = interrupted.filter((request) => requests.includes(request));
  return present.length > 0 && countRunners(present) >= runnerShare * countRunners(interrupted);
}

function countRunners(interrupted: readonly InterruptedRequest[]): number {
  return new Set(interrupted.map(({ runner }) => runner)).size;
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
