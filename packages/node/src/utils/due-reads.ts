interface ReadSchedule {
  /** Monotonic time in milliseconds of the last read; `-Infinity` before the first. */
  readonly readAt: number;
  /** Time between two reads in milliseconds. */
  readonly periodMs: number;
}

interface DueReadsOptions<T> {
  readonly items: readonly T[];
  readonly readingOf: (item: T) => ReadSchedule;
  readonly now: number;
  /** Maximum number of items to return. */
  readonly limit: number;
}

/**
 * Items whose next read is due, those read longest ago first, so that every item gets its turn even
 * when the rate of reads is limited.
 */
export function dueReads<T>(options: DueReadsOptions<T>): readonly T[] {
  const { items, readingOf, now, limit } = options;
  return items
    .map((item) => ({ item, reading: readingOf(item) }))
    .filter(({ reading }) => now - reading.readAt >= reading.periodMs)
    .sort((a, b) => a.reading.readAt - b.reading.readAt)
    .slice(0, limit)
    .map(({ item }) => item);
}
