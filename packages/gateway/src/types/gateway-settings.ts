import type { Address } from '@ragwortrudder/catalog';

/** Settings of a gateway node. */
export interface GatewaySettings {
  readonly node: {
    readonly id: string;
    readonly host: string;
    readonly failureDomain: string;
    /**
     * Capacity of the node's network link, in Mbit/s.
     * @default 1000
     */
    readonly linkMbps?: number | undefined;
  };
  /** Region of the node; absent when it is the one of its failure domain, or is not known. */
  readonly region?: string | undefined;
  /** Region of each failure domain; one that is not listed belongs to no region. */
  readonly domainRegions?: Readonly<Record<string, string>> | undefined;
  readonly listen: {
    /** Address that callers connect to. */
    readonly callers: Address;
    /** Address of the readiness endpoint. */
    readonly readiness: Address;
    /** Address of the metrics endpoint. */
    readonly metrics: Address;
    /** Port for messages (UDP) and passed-on requests (TCP) between nodes. */
    readonly peerPort: number;
  };
  /**
   * Interval at which runners renew their entries in the list, in milliseconds.
   * @default 1200
   */
  readonly runnerHeartbeatMs?: number | undefined;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number;
  readonly retries: {
    /** Maximum ratio of retries to requests of a service, over all nodes. */
    readonly ratio: number;
    /** Retries allowed in a window beyond that ratio, over all nodes. */
    readonly slack: number;
    readonly windowMs: number;
  };
  readonly quotas: {
    /** Fraction of a team's limit by which it may be exceeded, over all nodes. */
    readonly overage: number;
    /** Additional amount by which a team's limit may be exceeded, over all nodes, in the limit's unit. */
    readonly slack: number;
    /**
     * Length of the windows in which the limits hold, in milliseconds; a change takes effect only after a
     * restart.
     * @default 0
     */
    readonly windowMs?: number | undefined;
  };
  /** Bound on the requests that a cold runner receives in a second, over all nodes. */
  readonly coldRunners?:
    | {
        /**
         * Factor of the limit that its service has for cold runners.
         * @default 1
         */
        readonly overage?: number;
        /**
         * Requests beyond that.
         * @default 0
         */
        readonly slack?: number;
      }
    | undefined;
  readonly duties: {
    readonly reportsUsage: boolean;
    readonly ordersRunners: boolean;
    /** Minimum time between the last action of one duty holder and the first of the next, in milliseconds. */
    readonly leaseMs: number;
    /** Length of a usage window, in milliseconds. */
    readonly usageWindowMs: number;
    /** Time after the end of a window within which its usage must be reported, in milliseconds. */
    readonly usageLateMs: number;
  };
}
