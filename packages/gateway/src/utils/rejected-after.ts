import type { RolloutState } from '../types/rollout-state.ts';

interface PreviousRollout {
  readonly rejected: Iterable<string>;
  readonly targetVersion: string;
  /** Undefined while the state is unknown. */
  readonly phase: RolloutState['phase'] | undefined;
}

/** Versions that get no requests once a roll-out to `targetVersion` has replaced the previous one. */
export function rejectedAfter(
  previous: PreviousRollout | undefined,
  targetVersion: string,
): readonly string[] {
  if (!previous) return [];
  const versions = new Set(previous.rejected);
  if (previous.phase !== 'completed') versions.add(previous.targetVersion);
  versions.delete(targetVersion);
  return [...versions];
}
