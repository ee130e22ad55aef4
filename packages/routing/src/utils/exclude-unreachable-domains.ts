interface RunnerLocation {
  readonly id: string;
  readonly failureDomain: string;
}

/** Number of unreachable runners at which a whole failure domain counts as unreachable. */
const MIN_UNREACHABLE_RUNNERS = 2;

/**
 * Excludes the runners of failure domains that appear to be partitioned off because several of
 * their runners are unreachable. Each further attempt there would cost a connection timeout. When
 * this would exclude every runner, all runners that are not known to be unreachable are returned.
 */
export function excludeUnreachableDomains<T extends RunnerLocation>(
  runners: readonly T[],
  isUnreachable: (runner: T) => boolean,
): readonly T[] {
  const unreachableCounts = new Map<string, number>();
  for (const runner of runners) {
    if (!isUnreachable(runner)) continue;
    unreachableCounts.set(
      runner.failureDomain,
      (unreachableCounts.get(runner.failureDomain) ?? 0) + 1,
    );
  }
  const reachable = runners.filter((runner) => !isUnreachable(runner));
  const kept = reachable.filter(
    ({ failureDomain }) => (unreachableCounts.get(failureDomain) ?? 0) < MIN_UNREACHABLE_RUNNERS,
  );
  return kept.length > 0 ? kept : reachable;
}
