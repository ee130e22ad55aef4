import type { Clock } from '../types/clock.ts';

/** {@link Clock} that reads the system time. */
export class SystemClock implements Clock {
  wall(): number {
    return Date.now();
  }

  monotonic(): number {
    return performance.now();
  }
}
