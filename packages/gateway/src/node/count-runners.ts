import type { RunnerDirectory, Service } from '@ragwortrudder/catalog';
import type { HomeRegions } from '@ragwortrudder/routing';
import type { RunnerPool } from './runner-pool.ts';

interface CountRunnersOptions {
  readonly directory: RunnerDirectory;
  readonly pool: RunnerPool;
  readonly service: Service;
  readonly home: HomeRegions;
}

/** Counts the runners of a service by what keeps requests of this node away from them, for the log. */
export function countRunners({
  directory,
  pool,
  service,
  home,
}: CountRunnersOptions): Readonly<Record<string, string | number>> {
  const listed = directory.ofService(service.name);
  const runnersElsewhere = listed.filter((entry) => !home.allowsRunner(entry.failureDomain)).length;
  const runnersCold = pool.countCold(listed);
  const runnersEvacuated = listed.filter((entry) => pool.isEvacuated(entry)).length;
  return {
    service: service.name,
    runnersListed: listed.length,
    runnersLimited: pool.countLimited(listed),
    ...(runnersElsewhere > 0 ? { runnersElsewhere } : {}),
    ...(runnersCold > 0 ? { runnersCold } : {}),
    runnersResting: pool.countResting(listed),
    runnersWithoutRoom: pool.countWithoutRoom(listed, service),
    runnersDraining: listed.filter(({ isDraining }) => isDraining).length,
    ...(runnersEvacuated > 0 ? { runnersEvacuated } : {}),
    runnersUsable: pool.candidates(service).length,
    runnersLost: pool.reachOf(service.name).lost.size,
  };
}
