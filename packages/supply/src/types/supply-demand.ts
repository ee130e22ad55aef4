/** Capacity required by one group of interchangeable runners. */
export interface SupplyDemand {
  /** Labels that the VMs of the group carry. */
  readonly labels: Readonly<Record<string, string>>;
  /** Required capacity, in the unit of `unitsByClass`. */
  readonly units: number;
  /** Capacity of one VM by machine class; classes without an entry are unsuitable. */
  readonly unitsByClass: Readonly<Record<string, number>>;
}
