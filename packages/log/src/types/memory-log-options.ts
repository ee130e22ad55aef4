import type { Clock } from '@ragwortrudder/core';
import type { MemoryLogFaults } from './memory-log-faults.ts';

/** Options of a `MemoryLog`. */
export interface MemoryLogOptions {
  /** @default the system clock */
  readonly clock?: Clock;
  /**
   * Maximum size of a record in bytes of JSON.
   * @default 262144
   */
  readonly recordLimitBytes?: number;
  /** @default no injected faults */
  readonly faults?: MemoryLogFaults;
}
