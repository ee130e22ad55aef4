import type { Stage } from './stage.ts';

interface ReclaimOptions {
  readonly noticeMs: number;
  /**
   * False when the runner's load reports do not tell of the notice.
   * @default true
   */
  readonly isReported?: boolean;
}

/** Gives notice for the VM of a runner, which refuses connections from the deadline on. */
export async function reclaimRunner(
  stage: Stage,
  runnerId: string,
  { noticeMs, isReported = true }: ReclaimOptions,
): Promise<void> {
  const { fleet } = stage;
  const { vmId, kind } = fleet.runner(runnerId);
  stage.record({ type: 'notice', vm: vmId, deadline: Date.now() + noticeMs });
  stage.fault('reclaim', runnerId);
  await fleet.reclaim(vmId, { noticeMs });
  const setFault = (fault: {
    readonly leaving?: boolean;
    readonly refuse?: boolean;
  }): Promise<void> =>
    kind === 'model' ? fleet.engineFault(runnerId, fault) : fleet.applicationFault(runnerId, fault);
  if (!isReported) await setFault({ leaving: false });
  await stage.pause(noticeMs);
  await setFault({ refuse: true });
}
