import type { ProofEnvironment } from './proof-environment.ts';

interface ReclaimOptions {
  readonly noticeMs: number;
  /**
   * Whether the runner's load reports mention the reclaim notice.
   * @default true
   */
  readonly isReported?: boolean;
}

/**
 * Sends a reclaim notice for the VM of a runner, and makes the runner refuse connections once the
 * deadline has passed.
 */
export async function reclaimRunner(
  environment: ProofEnvironment,
  runnerId: string,
  { noticeMs, isReported = true }: ReclaimOptions,
): Promise<void> {
  const { fleet } = environment;
  const { vmId, kind } = fleet.runner(runnerId);
  environment.record({ type: 'notice', vm: vmId, deadline: Date.now() + noticeMs });
  environment.fault('reclaim', runnerId);
  await fleet.reclaim(vmId, { noticeMs });
  const setFault = (fault: {
    readonly leaving?: boolean;
    readonly refuse?: boolean;
  }): Promise<void> =>
    kind === 'model' ? fleet.engineFault(runnerId, fault) : fleet.applicationFault(runnerId, fault);
  if (!isReported) await setFault({ leaving: false });
  await environment.pause(noticeMs);
  await setFault({ refuse: true });
}
