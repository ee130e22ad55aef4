/** Identifies one life of one node: a restarted node has a new incarnation number. */
export interface Incarnation {
  readonly nodeId: string;
  /** Wall-clock start time in milliseconds; larger means later. */
  readonly number: number;
}
