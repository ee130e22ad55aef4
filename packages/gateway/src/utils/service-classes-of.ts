import type { ServiceClass } from '@ragwortrudder/admission';
import type { Configuration } from '@ragwortrudder/catalog';

/** Classes of requests of a service that a configuration allows, each of them once. */
export function serviceClassesOf(
  { routes, teams, requiresKey }: Configuration,
  service: string,
): readonly ServiceClass[] {
  const classes = new Map<string, ServiceClass>();
  for (const { priority: own, latencyTargetMs, isPublic, targets } of routes) {
    if (!targets.some((target) => target.service === service)) continue;
    const hasTeams = requiresKey && !isPublic;
    const priorities = hasTeams ? teams.map(({ priority = own }) => priority) : [own];
    for (const priority of priorities) {
      classes.set(`${priority} ${latencyTargetMs}`, { priority, latencyTargetMs });
    }
  }
  return [...classes.values()];
}
