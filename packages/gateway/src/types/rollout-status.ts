import type { RolloutOrder } from '@ragwortrudder/catalog';

/** What the operator is told of a roll-out. */
export interface RolloutStatus extends Pick<RolloutOrder, 'service' | 'targetVersion'> {
  readonly state: 'running' | 'completed' | 'rolled-back';
}
