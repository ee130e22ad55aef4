/** Supply of one service as its holder sees it. */
export interface SupplyStatus {
  readonly service: string;
  readonly fence: number;
  /** `recovering` while the VMs of earlier holders are looked for. */
  readonly state: 'recovering' | 'planning';
  readonly wantedRunners: number;
  readonly heldVms: number;
  readonly pendingStarts: number;
  readonly returningVms: number;
  /** Kinds of VM that the platform refuses now. */
  readonly refusedKinds: number;
  /** Runners left when the worst failure domain loses its reclaimable VMs. */
  readonly protectedRunners: number;
}
