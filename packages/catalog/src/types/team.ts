import type { TeamLimit } from './team-limit.ts';

/** A team, identified in requests by one of its API keys. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number;
  /** Absent when the team has no rate limit. */
  readonly limit?: TeamLimit;
  /** Home regions: requests reach no runner elsewhere; absent when they may be served anywhere. */
  readonly allowedRegions?: readonly string[];
}
