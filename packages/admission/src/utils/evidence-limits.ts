/** Maximum sizes of a node's evidence; a report that exceeds them is rejected as a whole. */
export const EVIDENCE_LIMITS = {
  /** Interrupted requests. */
  interrupted: 64,
  /** Prompt parts of an interrupted request. */
  parts: 16,
  /** Quarantined prompt parts. */
  quarantined: 64,
} as const;
