import type { Demand } from '../types/demand.ts';

/** Share of a runner's time that one output token takes, in milliseconds: a step divided by its batch. */
const DECODE_MS_PER_TOKEN = 0.08;
const MS_PER_S = 1_000;

/** Work that demand per second brings, in model runners that are busy all the time. */
export function busyRunners(
  { promptTokens, outputTokens }: Demand,
  prefillMsPerToken: number,
): number {
  return (promptTokens * prefillMsPerToken + outputTokens * DECODE_MS_PER_TOKEN) / MS_PER_S;
}
