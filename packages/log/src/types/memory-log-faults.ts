import type { LogAppend } from './log-append.ts';

/** Fault injection hooks of a `MemoryLog`, evaluated on each call. */
export interface MemoryLogFaults {
  /** Returns true to fail the call before it has any effect. */
  down?(call: 'append' | 'read'): boolean;
  /** Returns true to let the append take effect but lose its reply. */
  loseReply?(record: LogAppend): boolean;
  /** Number of newest records that are not yet visible to reads. */
  lagRecords?(): number;
  /** Returns a retry delay in milliseconds to throttle the append, or undefined to accept it. */
  throttleMs?(): number | undefined;
}
