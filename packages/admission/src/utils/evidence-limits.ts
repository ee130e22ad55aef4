/** Maximum sizes of a node's evidence; a report that exceeds them is rejected as a whole. */
export const EVIDENCE_LIMITS = {
  /** Interrupted requests in a report. */
  interrupted: 64,
  /** Interrupted requests that a node keeps: those of some 30 crashes under load. */
  keptInterrupted: 512,
  /** Prompt parts of an interrupted request. */
  parts: 16,
  /** Quarantined prompt parts. */
  quarantined: 64,
} as const;
