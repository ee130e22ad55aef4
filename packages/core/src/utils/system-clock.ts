import type { Clock } from '../types/clock.ts';

/** {@link Clock} of the operating system. */
export class SystemClock implements Clock {
  wall(): number {
    return Date.now();
  }

  monotonic(): number {
    return performance.now();
  }
}
