import * as z from 'zod';
import type { SettingsProblem } from '../types/settings-problem.ts';

const HIDDEN = 'a value that is not shown';
const Text = z.string().catch('');

const KeyEntry = z.object({ name: Text, tenant: Text, key: Text }).partial().catch({});
const Port = z.object({ host: Text, port: z.number().catch(0) }).catch({ host: '', port: 0 });
const Milliseconds = z.number().optional().catch(undefined);

/** Settings that depend on each other; unreadable ones are replaced by neutral values. */
const DependentSettings = z.object({
  listen: z.object({ callers: Port, peers: Port }).optional().catch(undefined),
  keys: z
    .object({
      peer: Text,
      operators: z.array(KeyEntry).catch([]),
      tenants: z.array(KeyEntry).catch([]),
    })
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
type DependentSettings = z.infer<typeof DependentSettings>;

interface SettingValue {
  readonly path: string;
  readonly value: string;
}

/** Returns the entries whose value occurs in an earlier entry. */
function duplicates(entries: readonly SettingValue[]): readonly SettingValue[] {
  const seen = new Set<string>(['']);
  return entries.filter(({ value }) => {
    const isDuplicate = value !== '' && seen.has(value);
    seen.add(value);
    return isDuplicate;
  });
}

function duplicateNameProblems({ keys }: DependentSettings): readonly SettingsProblem[] {
  const operators = keys.operators.map(({ name = '' }, index) => ({
    path: `keys.operators.${index}.name`,
    value: name,
  }));
  const tenants = keys.tenants.map(({ tenant = '' }, index) => ({
    path: `keys.tenants.${index}.tenant`,
    value: tenant,
  }));
  return [...duplicates(operators), ...duplicates(tenants)].map(({ path, value }) => ({
    path,
    found: JSON.stringify(value),
    allowed: 'a name that no earlier entry of the list uses',
  }));
}

function duplicateKeyProblems({ keys }: DependentSettings): readonly SettingsProblem[] {
  const keysOf = (name: 'operators' | 'tenants'): readonly SettingValue[] =>
    keys[name].map(({ key = '' }, index) => ({ path: `keys.${name}.${index}.key`, value: key }));
  const entries = [
    { path: 'keys.peer', value: keys.peer },
    ...keysOf('operators'),
    ...keysOf('tenants'),
  ];
  return duplicates(entries).map(({ path }) => ({
    path,
    found: HIDDEN,
    allowed: 'a key that nothing before it uses',
  }));
}

interface UpperBound {
  readonly path: string;
  readonly value: number | undefined;
  readonly limitName: string;
  readonly limit: number | undefined;
}

function boundProblems({
  requests,
  membership,
  supply,
  shutdown,
}: DependentSettings): readonly SettingsProblem[] {
  const bounds: readonly UpperBound[] = [
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
  return bounds.flatMap(({ path, value, limitName, limit }) =>
    value !== undefined && limit !== undefined && value > limit
      ? [{ path, found: String(value), allowed: `at most ${limitName}, which is ${limit}` }]
      : [],
  );
}

function portProblems({ listen }: DependentSettings): readonly SettingsProblem[] {
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

/**
 * Returns the problems of settings that depend on each other; `raw` may have other problems as
 * well.
 */
export function crossFieldProblems(raw: unknown): readonly SettingsProblem[] {
  const dependent = DependentSettings.safeParse(raw);
  if (!dependent.success) return [];
  return [duplicateNameProblems, duplicateKeyProblems, boundProblems, portProblems].flatMap(
    (find) => find(dependent.data),
  );
}
