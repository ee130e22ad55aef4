/** Operator's order about the evacuation of a failure domain. */
export interface EvacuationOrder {
  readonly failureDomain: string;
  /** What the record says; one that is `unreadable` neither begins nor ends an evacuation. */
  readonly state: 'ordered' | 'withdrawn' | 'unreadable';
}
