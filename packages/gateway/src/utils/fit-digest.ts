import type { PromptEvidence } from '@ragwortrudder/admission';
import type { DomainDigest } from '../types/domain-digest.ts';

/** Keeps the newer half of the interrupted requests, and what else is known of their parts. */
function withNewerHalf(evidence: PromptEvidence): PromptEvidence {
  const kept = Math.floor(evidence.interrupted.length / 2);
  const interrupted = evidence.interrupted
    .toSorted((one, other) => one.ageMs - other.ageMs)
    .slice(0, kept);
  const named = new Set([
    ...interrupted.flatMap(({ parts }) => parts),
    ...evidence.quarantined.map(({ part }) => part),
  ]);
  const served = Object.entries(evidence.served).filter(([part]) => named.has(part));
  return { ...evidence, interrupted, served: Object.fromEntries(served) };
}

/**
 * Leaves out interrupted requests of a digest, the oldest first, until it fits. The rest of a digest has a
 * size that follows from the deployment.
 */
export function fitDigest(
  digest: DomainDigest,
  fits: (digest: DomainDigest) => boolean,
): DomainDigest {
  let { prompts } = digest;
  let fitting = digest;
  while (prompts && prompts.interrupted.length > 0 && !fits(fitting)) {
    prompts = withNewerHalf(prompts);
    fitting = { ...digest, prompts };
  }
  return fitting;
}
