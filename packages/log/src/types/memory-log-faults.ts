import type { LogAppend } from './log-append.ts';

/** Faults of a `MemoryLog`, asked for on each call. */
export interface MemoryLogFaults {
  /** True makes the call fail before it has any effect. */
  down?(call: 'append' | 'read'): boolean;
  /** True makes the append take effect and its reply be lost. */
  loseReply?(record: LogAppend): boolean;
  /** Number of newest records that reads do not show yet. */
  lagRecords?(): number;
  /** Delay in milliseconds after which a refused append may be retried; undefined lets it through. */
  throttleMs?(): number | undefined;
}
