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

/** Leaves out half of the runners; they are reported again with their next samples. */
function withHalf(speeds: NonNullable<DomainDigest['speeds']>): DomainDigest['speeds'] {
  const entries = Object.entries(speeds);
  const kept = entries.slice(0, Math.floor(entries.length / 2));
  return kept.length === 0 ? undefined : Object.fromEntries(kept);
}

/**
 * Leaves out speeds of runners, and then interrupted requests of a digest, the oldest first, until it fits. The rest of a digest has a
 * size that follows from the deployment.
 */
export function fitDigest(
  digest: DomainDigest,
  fits: (digest: DomainDigest) => boolean,
): DomainDigest {
  let { prompts } = digest;
  let fitting = digest;
  while (fitting.speeds && !fits(fitting)) {
    const { speeds, ...others } = fitting;
    const kept = withHalf(speeds);
    fitting = kept ? { ...others, speeds: kept } : others;
  }
  while (prompts && prompts.interrupted.length > 0 && !fits(fitting)) {
    prompts = withNewerHalf(prompts);
    fitting = { ...fitting, prompts };
  }
  return fitting;
}
