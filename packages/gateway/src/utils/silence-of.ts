import type { Route } from '@ragwortrudder/catalog';
import type { Silence } from '../types/silence.ts';

interface AttemptSilence {
  readonly route: Pick<Route, 'maxGapMs' | 'latencyTargetMs'>;
  readonly hasFirstEvent: boolean;
  /** Time since bytes last arrived for the attempt, in milliseconds. */
  readonly silentMs: number;
  /** Time since bytes last arrived from the runner on any connection, in milliseconds. */
  readonly runnerSilentMs: number;
  /** New connections to the runner cannot be opened. */
  readonly isLinkSilent: boolean;
}

/**
 * Lower bound for the silence after which a request is also tried elsewhere, in milliseconds,
 * regardless of the latency target.
 */
const MIN_SILENCE_MS = 700;
/** The same when the link to the runner is lost. */
const LOST_LINK_SILENCE_MS = 300;
/** Silence of a stream after which it is also tried elsewhere, as a multiple of the route's maximum gap. */
const STREAM_SILENCE_FACTOR = 3;
/** Silence of a single connection that counts, as a multiple of the limit for a whole runner. */
const CONNECTION_SILENCE_FACTOR = 2.5;
/** Silence before the first byte that counts, as a multiple of the latency target. */
const FIRST_BYTE_SILENCE_FACTOR = 1.5;

/**
 * Judges the silence of an attempt. A runner that sends nothing on any connection counts as silent
 * sooner than a single connection of a runner that serves other requests, where the request may only
 * be queued.
 */
export function silenceOf(attempt: AttemptSilence): Silence {
  const { route, hasFirstEvent, silentMs, runnerSilentMs, isLinkSilent } = attempt;
  if (isLinkSilent && runnerSilentMs >= LOST_LINK_SILENCE_MS) return 'link';
  const limitMs = Math.max(
    MIN_SILENCE_MS,
    hasFirstEvent
      ? route.maxGapMs * STREAM_SILENCE_FACTOR
      : route.latencyTargetMs * FIRST_BYTE_SILENCE_FACTOR,
  );
  const isLong = silentMs >= limitMs * CONNECTION_SILENCE_FACTOR;
  if (runnerSilentMs >= limitMs) return isLong ? 'runner-for-long' : 'runner';
  return isLong ? 'connection' : 'none';
}
