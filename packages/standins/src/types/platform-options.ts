import type { Price } from './price.ts';
import type { Retention } from './retention.ts';

/** Options of the platform. */
export interface PlatformOptions {
  /** @default '127.0.0.1' */
  readonly host?: string | undefined;
  /**
   * Port, 0 for any free one.
   * @default 0
   */
  readonly port?: number | undefined;
  /** @default 300 */
  readonly appendsPerSecond?: number | undefined;
  /** @default 262144 */
  readonly recordLimitBytes?: number | undefined;
  /** @default unlimited */
  readonly retention?: Retention | undefined;
  /**
   * Lag of the list of VMs in milliseconds.
   * @default 2000
   */
  readonly vmLagMs?: number | undefined;
  /**
   * Calls of the cloud API a second.
   * @default 10
   */
  readonly cloudCallsPerSecond?: number | undefined;
  /**
   * VMs that the cloud API starts in each failure domain.
   * @default 1000
   */
  readonly capacity?: number | undefined;
  /**
   * Time in milliseconds from the start of a VM until its runner serves.
   * @default 0
   */
  readonly vmStartMs?: number | undefined;
  /**
   * Reads of the weight store a second.
   * @default 5
   */
  readonly weightReadsPerSecond?: number | undefined;
  /** @default no prices */
  readonly prices?: readonly Price[] | undefined;
}
