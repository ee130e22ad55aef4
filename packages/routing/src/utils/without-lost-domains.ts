interface PlacedRunner {
  readonly id: string;
  readonly failureDomain: string;
}

/** Unreachable runners of one failure domain from which on the whole domain is taken to be cut off. */
const LOST_DOMAIN_RUNNERS = 2;

/**
 * Leaves out the runners of failure domains that seem to be cut off: several of their runners could
 * not be reached. Each further try there would cost a connection time-out. When nothing would be
 * left, all runners that are not known to be unreachable stay.
 */
export function withoutLostDomains<T extends PlacedRunner>(
  runners: readonly T[],
  isUnreachable: (runner: T) => boolean,
): readonly T[] {
  const lost = new Map<string, number>();
  for (const runner of runners) {
    if (!isUnreachable(runner)) continue;
    lost.set(runner.failureDomain, (lost.get(runner.failureDomain) ?? 0) + 1);
  }
  const reachable = runners.filter((runner) => !isUnreachable(runner));
  const kept = reachable.filter(
    ({ failureDomain }) => (lost.get(failureDomain) ?? 0) < LOST_DOMAIN_RUNNERS,
  );
  return kept.length > 0 ? kept : reachable;
}
