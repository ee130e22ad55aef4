import type { ColdBound } from '../types/cold-bound.ts';

interface ColdShareQuery {
  /** Requests per second that the runner tolerates from all nodes together. */
  readonly perSecond: number;
  readonly bound: ColdBound;
  /** Number of nodes that may share the limit. */
  readonly nodes: number;
}

interface ColdShare {
  /** Number of nodes that send requests. */
  readonly sharers: number;
  /** Requests per second of each of them. */
  readonly perSecond: number;
}

/** Factor on a rate for requests that are delayed differently on their way to the runner. */
const JITTER = 1.1;
/** Fraction of the burst allowance that is used; the rest covers nodes that disagree on who shares. */
const USED_BURST = 0.5;

/**
 * Divides the limit of a cold runner. Each sharer has a bucket of one request, so that in one second it
 * sends at most one request beyond its rate: the number of sharers is chosen so that the sum of these
 * bursts and of the rates stays within the bound.
 */
export function coldShare({ perSecond, bound, nodes }: ColdShareQuery): ColdShare {
  const most = Math.floor(perSecond * bound.overage + bound.slack);
  if (most < 1) return { sharers: 0, perSecond: 0 };
  const burst = Math.floor((most - perSecond * JITTER) * USED_BURST);
  const sharers = Math.min(nodes, 1 + Math.floor(perSecond), burst);
  if (sharers > 1) return { sharers, perSecond: perSecond / sharers };
  // One sender whose requests are 1 / rate apart sends at most ceil(rate) in a second.
  return { sharers: 1, perSecond: Math.min(perSecond, most / JITTER) };
}
