import type { WeightedService } from '../types/weighted-service.ts';

/** Draws a service in proportion to the weights; `fraction` is in [0, 1). */
export function drawService(
  targets: readonly WeightedService[],
  fraction: number,
): string | undefined {
  const usable = targets.filter(({ weight }) => weight > 0);
  const total = usable.reduce((sum, { weight }) => sum + weight, 0);
  let rest = fraction * total;
  for (const { service, weight } of usable) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return usable.at(-1)?.service;
}
