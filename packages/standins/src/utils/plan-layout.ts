import type { FleetLayout } from '../types/fleet-layout.ts';
import type { FleetOptions } from '../types/fleet-options.ts';
import type { FleetRunners } from '../types/fleet-runners.ts';
import type { Price } from '../types/price.ts';
import type { PlannedRunner } from '../types/planned-runner.ts';

const DEFAULT_FAILURE_DOMAINS = ['a', 'b', 'c'];
const DEFAULT_TENANTS = [{ tenant: 'acme', key: 'acme-tenant-key-0123456789' }];

function planRunners(
  group: FleetRunners,
  failureDomains: readonly string[],
  seed: number,
): readonly PlannedRunner[] {
  const { service, version, kind, count, spare = false, options } = group;
  const role = kind === 'model' ? 'engine' : 'application';
  return Array.from({ length: count }, (_, index) => {
    const failureDomain = failureDomains[index % failureDomains.length] ?? '';
    const id = `${service}-${version}-${spare ? 'spare-' : ''}${index + 1}`;
    const process = `${role}-${failureDomain}`;
    const runnerOptions = { seed: seed + index, ...options, id };
    return { id, process, service, version, kind, failureDomain, spare, options: runnerOptions };
  });
}

function defaultPrices(failureDomains: readonly string[]): readonly Price[] {
  return failureDomains.flatMap((failureDomain, index) => [
    { failureDomain, machineClass: 'standard', reclaimable: true, pricePerHour: 1 + index / 4 },
    { failureDomain, machineClass: 'standard', reclaimable: false, pricePerHour: 3 },
  ]);
}

/** Derives the entry nodes, runners, tenants and platform options of a fleet from its options. */
export function planLayout(options: FleetOptions): FleetLayout {
  const seed = options.seed ?? 1;
  const failureDomains = options.failureDomains ?? DEFAULT_FAILURE_DOMAINS;
  const entryCount = failureDomains.length * (options.entriesPerFailureDomain ?? 1);
  const entries = Array.from({ length: entryCount }, (_, index) => ({
    name: `entry-${index + 1}`,
    failureDomain: failureDomains[index % failureDomains.length] ?? '',
  }));
  const runners = (options.runners ?? []).flatMap((group, index) =>
    planRunners(group, failureDomains, seed + index * 1000),
  );
  const tenants = options.tenants ?? DEFAULT_TENANTS;
  const platform = { prices: defaultPrices(failureDomains), ...options.platform };
  return { seed, failureDomains, entries, runners, tenants, platform };
}
