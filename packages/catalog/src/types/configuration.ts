import type { CallerLimits } from './caller-limits.ts';
import type { Route } from './route.ts';
import type { Service } from './service.ts';
import type { Team } from './team.ts';

/** Complete configuration of routes, services and teams, with a version number. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  /** Requests on routes that are not public carry the key of a team, also while there is no team. */
  readonly requiresKey: boolean;
  readonly limits: CallerLimits;
}
