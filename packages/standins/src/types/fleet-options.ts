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
   * Number of entry nodes in each failure domain.
   * @default 1
   */
  readonly entriesPerFailureDomain?: number | undefined;
  /** @default no runners */
  readonly runners?: readonly FleetRunners[] | undefined;
  /** @default one tenant `acme` */
  readonly tenants?: readonly FleetTenant[] | undefined;
  /** Options of the platform. */
  readonly platform?: PlatformOptions | undefined;
  /** Settings merged over the generated settings of every node. */
  readonly settings?: Readonly<Record<string, unknown>> | undefined;
  /**
   * Whether connections of entry nodes to one another and to the platform go through relays.
   * @default false
   */
  readonly relays?: boolean | undefined;
  /**
   * Whether connections of entry nodes to runners also go through relays; requires `relays`.
   * @default false
   */
  readonly runnerRelays?: boolean | undefined;
  /**
   * Path of the binary that runs the nodes; cannot be combined with `relays`.
   * @default the TypeScript sources, run with tsx
   */
  readonly binary?: string | undefined;
  /**
   * Path of the source file that runs the nodes if no `binary` is given.
   * @default the command line of this repository
   */
  readonly program?: string | undefined;
  /**
   * Time in milliseconds within which each process must become ready.
   * @default 30000
   */
  readonly readyTimeoutMs?: number | undefined;
  /** Value of the environment variable `DEBUG` of the entry nodes. */
  readonly debug?: string | undefined;
}
