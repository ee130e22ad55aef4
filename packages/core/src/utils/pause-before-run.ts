interface RunTiming {
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly periodMs: number;
}

/** Part of the period that passes at least before the next run. */
const MIN_PAUSE_SHARE = 0.5;

/** Time until a multiple of the period, in milliseconds. */
export function pauseBeforeRun({ now, periodMs }: RunTiming): number {
  const pauseMs = periodMs - (now % periodMs);
  return pauseMs < MIN_PAUSE_SHARE * periodMs ? pauseMs + periodMs : pauseMs;
}
