import type { Stage } from './stage.ts';

/** Gives notice for the VM of a runner, which refuses connections from the deadline on. */
export async function reclaimRunner(
  stage: Stage,
  runnerId: string,
  noticeMs: number,
): Promise<void> {
  const { fleet } = stage;
  const { vmId, kind } = fleet.runner(runnerId);
  stage.record({ type: 'notice', vm: vmId, deadline: Date.now() + noticeMs });
  stage.fault('reclaim', runnerId);
  await fleet.reclaim(vmId, { noticeMs });
  await stage.pause(noticeMs);
  if (kind === 'model') await fleet.engineFault(runnerId, { refuse: true });
  else await fleet.applicationFault(runnerId, { refuse: true });
}
