import type { Address } from '@ragwortrudder/catalog';

/** Settings of a gateway node. */
export interface GatewaySettings {
  readonly node: {
    readonly id: string;
    readonly host: string;
    readonly failureDomain: string;
  };
  readonly listen: {
    /** Address for callers. */
    readonly callers: Address;
    /** Address of the readiness check. */
    readonly readiness: Address;
    /** Address of the metrics. */
    readonly metrics: Address;
    /** Port for datagrams between nodes. */
    readonly peerPort: number;
  };
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number;
  readonly retries: {
    /** Share of a service's requests that may be sent a second time, over all nodes. */
    readonly ratio: number;
    /** Repeats in a window that are allowed beyond the share, over all nodes. */
    readonly slack: number;
    readonly windowMs: number;
  };
  readonly quotas: {
    /** Part of a team's limit by which it may be exceeded, over all nodes. */
    readonly overage: number;
    /** Amount by which a team's limit may be exceeded besides, over all nodes, in the limit's unit. */
    readonly slack: number;
  };
  readonly duties: {
    readonly reportsUsage: boolean;
    readonly ordersRunners: boolean;
    /** Least time between the acts of two holders, in milliseconds. */
    readonly leaseMs: number;
    /** Length of a window of usage, in milliseconds. */
    readonly usageWindowMs: number;
    /** Time after a window's end within which its usage is due, in milliseconds. */
    readonly usageLateMs: number;
  };
}
