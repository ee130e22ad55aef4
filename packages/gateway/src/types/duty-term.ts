/** Time during which one node performs the duties that are one node's at a time. */
export interface DutyTerm {
  readonly holder: string;
  /** Increases with each change of the holder. */
  readonly fencingToken: number;
}
