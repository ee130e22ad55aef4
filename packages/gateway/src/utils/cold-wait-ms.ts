import type { StatedLimits } from '@ragwortrudder/admission';

const MS_PER_S = 1_000;

/**
 * Time until one of several runners may get a request while all of them are cold, in milliseconds:
 * from this node, or from another one that has a part of their limits. Undefined unless all are cold.
 */
export function coldWaitMs(
  runners: readonly string[],
  limits: Pick<StatedLimits, 'cold' | 'waitMs'>,
): number | undefined {
  let perSecond = 0;
  let firstMs = Infinity;
  for (const runner of runners) {
    const limit = limits.cold.limitOf(runner);
    if (limit === undefined) return undefined;
    perSecond += limit;
    firstMs = Math.min(firstMs, limits.waitMs(runner), limits.cold.remainingMs(runner));
  }
  return runners.length === 0 ? undefined : Math.min(firstMs, MS_PER_S / perSecond);
}
