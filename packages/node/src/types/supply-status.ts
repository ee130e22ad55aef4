/** Supply of VMs for one service, as the holder of its supply lease observes it. */
export interface SupplyStatus {
  readonly service: string;
  readonly fence: number;
  /** `recovering` while the holder still searches for VMs that earlier holders started. */
  readonly state: 'recovering' | 'planning';
  readonly wantedRunners: number;
  readonly heldVms: number;
  readonly pendingStarts: number;
  readonly returningVms: number;
  /** Kinds of VM that the platform currently refuses to start. */
  readonly refusedKinds: number;
  /**
   * Runners that remain when the failure domain with the most reclaimable capacity loses it all.
   */
  readonly protectedRunners: number;
}
