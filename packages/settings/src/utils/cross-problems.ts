import * as z from 'zod';
import type { SettingsProblem } from '../types/settings-problem.ts';

const HIDDEN = 'a value that is not shown';
const Text = z.string().catch('');

const Keyed = z.object({ name: Text, tenant: Text, key: Text }).partial().catch({});
const Port = z.object({ host: Text, port: z.number().catch(0) }).catch({ host: '', port: 0 });
const Milliseconds = z.number().optional().catch(undefined);

/** The parts of settings that depend on each other, as far as they can be read. */
const Parts = z.object({
  listen: z.object({ callers: Port, peers: Port }).optional().catch(undefined),
  keys: z
    .object({ peer: Text, operators: z.array(Keyed).catch([]), tenants: z.array(Keyed).catch([]) })
    .catch({ peer: '', operators: [], tenants: [] }),
  requests: z
    .object({ deadlineMs: Milliseconds, maxDeadlineMs: Milliseconds })
    .optional()
    .catch(undefined),
  membership: z
    .object({ probePeriodMs: Milliseconds, probeTimeoutMs: Milliseconds })
    .optional()
    .catch(undefined),
  supply: z
    .object({ leaseMs: Milliseconds, leaseMarginMs: Milliseconds })
    .optional()
    .catch(undefined),
  shutdown: z
    .object({ graceMs: Milliseconds, handOverMs: Milliseconds })
    .optional()
    .catch(undefined),
});
type Parts = z.infer<typeof Parts>;

interface Entry {
  readonly path: string;
  readonly value: string;
}

/** Entries whose value an earlier one has. */
function repeated(entries: readonly Entry[]): readonly Entry[] {
  const seen = new Set<string>(['']);
  return entries.filter(({ value }) => {
    const isRepeated = value !== '' && seen.has(value);
    seen.add(value);
    return isRepeated;
  });
}

function nameProblems({ keys }: Parts): readonly SettingsProblem[] {
  const operators = keys.operators.map(({ name = '' }, index) => ({
    path: `keys.operators.${index}.name`,
    value: name,
  }));
  const tenants = keys.tenants.map(({ tenant = '' }, index) => ({
    path: `keys.tenants.${index}.tenant`,
    value: tenant,
  }));
  return [...repeated(operators), ...repeated(tenants)].map(({ path, value }) => ({
    path,
    found: JSON.stringify(value),
    allowed: 'a name that no earlier entry of the list has',
  }));
}

function keyProblems({ keys }: Parts): readonly SettingsProblem[] {
  const list = (name: 'operators' | 'tenants'): readonly Entry[] =>
    keys[name].map(({ key = '' }, index) => ({ path: `keys.${name}.${index}.key`, value: key }));
  const entries = [
    { path: 'keys.peer', value: keys.peer },
    ...list('operators'),
    ...list('tenants'),
  ];
  return repeated(entries).map(({ path }) => ({
    path,
    found: HIDDEN,
    allowed: 'a key that nothing before it has',
  }));
}

interface Order {
  readonly path: string;
  readonly value: number | undefined;
  readonly limitName: string;
  readonly limit: number | undefined;
}

function orderProblems({
  requests,
  membership,
  supply,
  shutdown,
}: Parts): readonly SettingsProblem[] {
  const orders: readonly Order[] = [
    {
      path: 'requests.deadlineMs',
      value: requests?.deadlineMs,
      limitName: 'requests.maxDeadlineMs',
      limit: requests?.maxDeadlineMs,
    },
    {
      path: 'membership.probeTimeoutMs',
      value: membership?.probeTimeoutMs,
      limitName: 'membership.probePeriodMs',
      limit: membership?.probePeriodMs,
    },
    {
      path: 'supply.leaseMarginMs',
      value: supply?.leaseMarginMs,
      limitName: 'half of supply.leaseMs',
      limit: supply?.leaseMs === undefined ? undefined : supply.leaseMs / 2,
    },
    {
      path: 'shutdown.handOverMs',
      value: shutdown?.handOverMs,
      limitName: 'shutdown.graceMs',
      limit: shutdown?.graceMs,
    },
  ];
  return orders.flatMap(({ path, value, limitName, limit }) =>
    value !== undefined && limit !== undefined && value > limit
      ? [{ path, found: String(value), allowed: `at most ${limitName}, which is ${limit}` }]
      : [],
  );
}

function portProblems({ listen }: Parts): readonly SettingsProblem[] {
  if (!listen || listen.peers.port === 0) return [];
  const { callers, peers } = listen;
  if (callers.host !== peers.host || callers.port !== peers.port) return [];
  return [
    {
      path: 'listen.peers.port',
      found: String(peers.port),
      allowed: 'a port other than that of listen.callers',
    },
  ];
}

/** Problems of settings that depend on each other; `raw` may have other problems too. */
export function crossProblems(raw: unknown): readonly SettingsProblem[] {
  const parts = Parts.safeParse(raw);
  if (!parts.success) return [];
  return [nameProblems, keyProblems, orderProblems, portProblems].flatMap((find) =>
    find(parts.data),
  );
}
