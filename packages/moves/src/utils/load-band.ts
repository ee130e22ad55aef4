const MIDDLE_LOAD = 0.5;
const HIGH_LOAD = 0.85;

/** Returns the load band of a runner: 0 low, 1 medium, 2 high. */
export function loadBand(load: number): number {
  if (load >= HIGH_LOAD) return 2;
  return load >= MIDDLE_LOAD ? 1 : 0;
}
