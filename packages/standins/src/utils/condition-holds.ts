import type { FaultCondition } from '../types/fault-condition.ts';

interface RequestContext {
  readonly running: number;
  readonly requests: number;
  readonly text: string;
}

/** Returns whether a request meets every given condition of a fault. */
export function conditionHolds(
  condition: FaultCondition | undefined,
  { running, requests, text }: RequestContext,
): boolean {
  if (!condition) return true;
  if (condition.aboveRunning !== undefined && running <= condition.aboveRunning) return false;
  if (condition.afterRequests !== undefined && requests <= condition.afterRequests) return false;
  return condition.marker === undefined || text.includes(condition.marker);
}
