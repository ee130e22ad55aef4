import type { RunnerDirectory, Service } from '@ragwortrudder/catalog';
import type { RunnerPool } from './runner-pool.ts';

interface CountRunnersOptions {
  readonly directory: RunnerDirectory;
  readonly pool: RunnerPool;
  readonly service: Service;
}

/** Counts the runners of a service by what keeps requests of this node away from them, for the log. */
export function countRunners({
  directory,
  pool,
  service,
}: CountRunnersOptions): Readonly<Record<string, string | number>> {
  const listed = directory.ofService(service.name);
  const runnersEvacuated = listed.filter((entry) => pool.isEvacuated(entry)).length;
  return {
    service: service.name,
    runnersListed: listed.length,
    runnersLimited: pool.countLimited(listed),
    runnersResting: pool.countResting(listed),
    runnersWithoutRoom: pool.countWithoutRoom(listed, service),
    runnersDraining: listed.filter(({ isDraining }) => isDraining).length,
    ...(runnersEvacuated > 0 ? { runnersEvacuated } : {}),
    runnersUsable: pool.candidates(service).length,
    runnersLost: pool.reachOf(service.name).lost.size,
  };
}
