import type { TeamLimit } from './team-limit.ts';

/** Team that calls with one of its keys. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Takes precedence over the priority of the route. */
  readonly priority?: number;
  /** Absent when the team is not limited. */
  readonly limit?: TeamLimit;
}
