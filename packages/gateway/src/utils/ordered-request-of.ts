import type { OrderedRequest } from '@ragwortrudder/admission';
import type { Route, Team } from '@ragwortrudder/catalog';
import type { PlacementRequest } from '@ragwortrudder/routing';

interface TimedRequest {
  readonly route: Route;
  readonly team: Team | undefined;
  readonly placement: PlacementRequest;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** What the order of requests needs to know about a request. */
export function orderedRequestOf({
  route,
  team,
  placement,
  arrivedAt,
  deadlineAt,
}: TimedRequest): OrderedRequest {
  return {
    priority: team?.priority ?? route.priority,
    latencyTargetMs: route.latencyTargetMs,
    arrivedAt,
    deadlineAt,
    prefillTokens: placement.ownTokens,
    outputTokens: placement.outputTokens,
    team: team?.name,
  };
}
