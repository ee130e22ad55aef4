import type { PromptEvidence } from '../types/prompt-evidence.ts';

/** Returns evidence as it is `ms` milliseconds later. */
export function ageEvidence(evidence: PromptEvidence, ms: number): PromptEvidence {
  return {
    ...evidence,
    interrupted: evidence.interrupted.map((item) => ({ ...item, ageMs: item.ageMs + ms })),
    served: Object.fromEntries(
      Object.entries(evidence.served).map(([part, ageMs]) => [part, ageMs + ms]),
    ),
    quarantined: evidence.quarantined.map((item) => {
      return { ...item, ageMs: item.ageMs + ms, remainingMs: item.remainingMs - ms };
    }),
  };
}
