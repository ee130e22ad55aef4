import type { FleetRunners } from './fleet-runners.ts';
import type { FleetTenant } from './fleet-tenant.ts';
import type { PlatformOptions } from './platform-options.ts';

/** Options of a fleet. */
export interface FleetOptions {
  /** @default 1 */
  readonly seed?: number | undefined;
  /** @default ['a', 'b', 'c'] */
  readonly failureDomains?: readonly string[] | undefined;
  /**
   * Entry nodes in each failure domain.
   * @default 1
   */
  readonly entriesPerFailureDomain?: number | undefined;
  /** @default no runners */
  readonly runners?: readonly FleetRunners[] | undefined;
  /** @default one tenant `acme` */
  readonly tenants?: readonly FleetTenant[] | undefined;
  /** Options of the platform. */
  readonly platform?: PlatformOptions | undefined;
  /** Settings of every node, merged over the generated ones. */
  readonly settings?: Readonly<Record<string, unknown>> | undefined;
  /**
   * True passes what entry nodes send to one another and to the platform through relays.
   * @default false
   */
  readonly relays?: boolean | undefined;
  /**
   * True passes what entry nodes send to runners through relays also; needs `relays`.
   * @default false
   */
  readonly runnerRelays?: boolean | undefined;
  /**
   * Path of the binary that runs the nodes; it can't be used with `relays`.
   * @default the sources through tsx
   */
  readonly binary?: string | undefined;
  /**
   * Path of the source file that runs the nodes when no binary is given.
   * @default the command line of this repository
   */
  readonly program?: string | undefined;
  /**
   * Time in milliseconds within which each process must be ready.
   * @default 30000
   */
  readonly readyTimeoutMs?: number | undefined;
  /** Value of `DEBUG` in the processes. */
  readonly debug?: string | undefined;
}
