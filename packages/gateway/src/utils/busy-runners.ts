import type { Demand } from '../types/demand.ts';

/**
 * Runner time for one output token, in milliseconds: the duration of a decode step divided by its
 * batch size.
 */
const DECODE_MS_PER_TOKEN = 0.08;
const MS_PER_S = 1_000;

/** Number of fully utilized model runners that a demand per second corresponds to. */
export function busyRunners(
  { promptTokens, outputTokens }: Demand,
  prefillMsPerToken: number,
): number {
  return (promptTokens * prefillMsPerToken + outputTokens * DECODE_MS_PER_TOKEN) / MS_PER_S;
}
