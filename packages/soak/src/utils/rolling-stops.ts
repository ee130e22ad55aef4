interface RollingStopOptions {
  readonly nodes: number;
  /** Node that stops first. */
  readonly first: number;
  readonly forMs: number;
}

interface NodeStop {
  readonly node: number;
  /** Time after the begin of the rolling stop, in milliseconds. */
  readonly atMs: number;
}

/** Pause between successive stops, in milliseconds; shorter in a short rolling stop. */
const GAP_MS = 1_200;
const MIN_STOPS = 3;

/** Nodes that stop one after another: as many as fit the time, all within it. */
export function rollingStops({ nodes, first, forMs }: RollingStopOptions): readonly NodeStop[] {
  const fitting = 1 + Math.floor(forMs / GAP_MS);
  const count = Math.min(nodes, Math.max(MIN_STOPS, fitting));
  const gapMs = Math.min(GAP_MS, forMs / Math.max(1, count - 1));
  return Array.from({ length: count }, (_item, index) => {
    return { node: (first + index) % nodes, atMs: index * gapMs };
  });
}
