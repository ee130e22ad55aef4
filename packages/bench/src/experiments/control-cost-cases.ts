import type { FleetOptions } from '@ragwortrudder/standins';

const DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];
const DEFAULT_DOMAINS = 3;
const DEFAULT_RUNNERS = 6;
const DEFAULT_NODES = 3;
const UNLIMITED_RATE = 100_000;
const READY_TIMEOUT_MS = 120_000;

interface ControlCostCase {
  readonly name: string;
  readonly nodes: number;
  readonly runners: number;
  readonly tenants: number;
  /** VMs listed by the platform in addition to those of nodes and runners. */
  readonly listed: number;
  /** Tickets submitted before the measurement. */
  readonly tickets: number;
  /** Tickets per second during the measurement. */
  readonly ticketRate: number;
  /** Requests per second during the measurement, summed over all nodes. */
  readonly requestRate: number;
  readonly kind: 'idempotent' | 'issued-key' | 'claimed-key';
  readonly options: FleetOptions;
}

type CaseSizes = Partial<Omit<ControlCostCase, 'name' | 'options'>>;

function buildCase(seed: number, name: string, sizes: CaseSizes): ControlCostCase {
  const nodes = sizes.nodes ?? DEFAULT_NODES;
  const runners = sizes.runners ?? DEFAULT_RUNNERS;
  const tenants = sizes.tenants ?? 1;
  const failureDomains = DOMAINS.slice(
    0,
    nodes > DEFAULT_DOMAINS ? DOMAINS.length : DEFAULT_DOMAINS,
  );
  const kind = sizes.kind ?? 'idempotent';
  const isModel = kind === 'idempotent';
  return {
    ...{ name, nodes, runners, tenants, kind },
    listed: sizes.listed ?? 0,
    tickets: sizes.tickets ?? 0,
    ticketRate: sizes.ticketRate ?? 0,
    requestRate: sizes.requestRate ?? 0,
    options: {
      ...{ seed, readyTimeoutMs: READY_TIMEOUT_MS },
      failureDomains,
      entriesPerFailureDomain: nodes / failureDomains.length,
      tenants: Array.from({ length: tenants }, (_, index) => ({
        tenant: `tenant-${index + 1}`,
        key: `tenant-key-${index + 1}-0123456789abcdef`,
      })),
      runners: [
        {
          service: isModel ? 'quotes' : 'orders',
          version: 'v1',
          kind: isModel ? 'model' : 'application',
          count: runners,
        },
      ],
      platform: { appendsPerSecond: UNLIMITED_RATE, cloudCallsPerSecond: UNLIMITED_RATE },
    },
  };
}

/** Returns the cases of the control cost experiment, keyed by the quantity that is varied. */
export function controlCostCases(
  seed: number,
): Readonly<Record<string, readonly ControlCostCase[]>> {
  const makeCase = (name: string, sizes: CaseSizes): ControlCostCase =>
    buildCase(seed, name, sizes);
  return {
    nodes: [3, 6, 12, 24, 60].map((nodes) => makeCase(`${nodes} nodes`, { nodes })),
    runners: [6, 24, 96].map((runners) => makeCase(`${runners} runners`, { runners })),
    listed: [0, 300, 3000].map((listed) => makeCase(`${listed} more VMs`, { listed })),
    tenants: [1, 200, 2000].map((tenants) => makeCase(`${tenants} tenants`, { tenants })),
    tickets: [0, 100, 400].map((tickets) => makeCase(`${tickets} tickets`, { tickets })),
    'ticket-rate': [0, 2, 10].map((ticketRate) =>
      makeCase(`${ticketRate} tickets/s`, { ticketRate }),
    ),
    load: [0, 10, 30].map((requestRate) => makeCase(`${requestRate} requests/s`, { requestRate })),
    appends: [
      makeCase('idempotent, 30/s', { requestRate: 30 }),
      makeCase('issued key, 30/s', { requestRate: 30, kind: 'issued-key' }),
      ...[10, 100, 300].map((requestRate) =>
        makeCase(`claimed key, ${requestRate}/s`, { requestRate, kind: 'claimed-key' }),
      ),
    ],
  };
}
