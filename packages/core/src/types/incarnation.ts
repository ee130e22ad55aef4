/**
 * Identifies one run of a node, from start to stop; a restarted node has a new incarnation number.
 */
export interface Incarnation {
  readonly nodeId: string;
  /** Wall-clock start time in milliseconds; a larger number is a later incarnation. */
  readonly number: number;
}
