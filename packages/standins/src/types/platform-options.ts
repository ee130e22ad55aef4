import type { Price } from './price.ts';
import type { Retention } from './retention.ts';

/** Options of the platform. */
export interface PlatformOptions {
  /** @default '127.0.0.1' */
  readonly host?: string | undefined;
  /**
   * Port to listen on; 0 selects any free port.
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
   * Delay in milliseconds before a change appears in the list of VMs.
   * @default 2000
   */
  readonly vmLagMs?: number | undefined;
  /**
   * Maximum number of cloud API calls per second.
   * @default 10
   */
  readonly cloudCallsPerSecond?: number | undefined;
  /**
   * Maximum number of VMs that the cloud API starts in each failure domain.
   * @default 1000
   */
  readonly capacity?: number | undefined;
  /**
   * Time in milliseconds from the start of a VM until its runner serves.
   * @default 0
   */
  readonly vmStartMs?: number | undefined;
  /**
   * Maximum number of weight store reads per second.
   * @default 5
   */
  readonly weightReadsPerSecond?: number | undefined;
  /** @default no prices */
  readonly prices?: readonly Price[] | undefined;
}
