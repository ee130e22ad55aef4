import type { WeightedService } from '../types/weighted-service.ts';

/** Selects a service in proportion to the weights; `fraction` is a random number in [0, 1). */
export function selectService(
  targets: readonly WeightedService[],
  fraction: number,
): string | undefined {
  const usable = targets.filter(({ weight }) => weight > 0);
  const total = usable.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of usable) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return usable.at(-1)?.service;
}
