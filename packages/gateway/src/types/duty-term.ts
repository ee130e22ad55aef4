/** Leadership term: while it lasts, its holder is the only node that performs the duties. */
export interface DutyTerm {
  readonly holder: string;
  /** Increases with each new term. */
  readonly fencingToken: number;
}
