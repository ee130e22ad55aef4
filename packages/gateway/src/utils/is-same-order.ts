import type { RolloutOrder } from '@ragwortrudder/catalog';

/** Whether two orders of a service's roll-out ask for the same. */
export function isSameOrder(
  a: Omit<RolloutOrder, 'service'>,
  b: Omit<RolloutOrder, 'service'>,
): boolean {
  return a.targetVersion === b.targetVersion && a.durationMs === b.durationMs;
}
