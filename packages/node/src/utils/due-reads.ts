interface Reading {
  /** Monotonic time in milliseconds of the last read; `-Infinity` before the first. */
  readonly readAt: number;
  /** Time between two reads in milliseconds. */
  readonly periodMs: number;
}

interface DueReadsOptions<T> {
  readonly items: readonly T[];
  readonly readingOf: (item: T) => Reading;
  readonly now: number;
  /** Reads to choose at most. */
  readonly limit: number;
}

/** Items whose next read is due, the latest first, so that a bounded rate of reads goes round all. */
export function dueReads<T>(options: DueReadsOptions<T>): readonly T[] {
  const { items, readingOf, now, limit } = options;
  return items
    .map((item) => ({ item, reading: readingOf(item) }))
    .filter(({ reading }) => now - reading.readAt >= reading.periodMs)
    .sort((a, b) => a.reading.readAt - b.reading.readAt)
    .slice(0, limit)
    .map(({ item }) => item);
}
