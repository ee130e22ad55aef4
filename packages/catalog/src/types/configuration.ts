import type { CallerLimits } from './caller-limits.ts';
import type { Route } from './route.ts';
import type { Service } from './service.ts';
import type { Team } from './team.ts';

/** Whole state of what is served, as one numbered version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  readonly limits: CallerLimits;
}
