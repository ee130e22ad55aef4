import type { StartVm } from '../types/start-vm.ts';
import type { StopVm } from '../types/stop-vm.ts';
import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyDemand } from '../types/supply-demand.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyVm } from '../types/supply-vm.ts';
import type { VmKind } from '../types/vm-kind.ts';
import { hasLabels } from './has-labels.ts';
import { kindKey } from './kind-key.ts';
import { requestIdOf } from './request-id-of.ts';

const DEFAULT_MAX_STARTS = 16;
const DEFAULT_RETURN_MARGIN = 0.05;

/** Desired number of VMs of one kind for a demand. */
interface Target {
  readonly kind: VmKind;
  readonly count: number;
}

/** Computes the capacity of a set of VMs, which decides whether a VM is surplus. */
type CapacityOf = (vms: readonly VmKind[], unitsByClass: SupplyDemand['unitsByClass']) => number;

interface ActionRules {
  readonly targetsOf: TargetsOf;
  readonly capacityOf: CapacityOf;
}

type TargetsOf = (demand: SupplyDemand, held: ReadonlyMap<string, number>) => readonly Target[];

function countByKind(vms: readonly SupplyVm[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const vm of vms) counts.set(kindKey(vm), (counts.get(kindKey(vm)) ?? 0) + 1);
  return counts;
}

/** Returns the live VMs beyond the targets that are not needed to cover the demand, most expensive first. */
function stopsFor(
  demand: SupplyDemand,
  held: readonly SupplyVm[],
  targets: readonly Target[],
  input: SupplyInput,
  capacityOf: CapacityOf,
): readonly StopVm[] {
  const margin = input.options.returnMargin ?? DEFAULT_RETURN_MARGIN;
  const desired = new Map(targets.map(({ kind, count }) => [kindKey(kind), count]));
  const prices = new Map(input.prices.map((price) => [kindKey(price), price.pricePerHour]));
  const priceOf = (vm: SupplyVm): number => prices.get(kindKey(vm)) ?? Infinity;
  const excess = new Map(countByKind(held));
  let live = held.filter(({ state }) => state === 'live');
  const stops: StopVm[] = [];
  const candidates = [...live].sort((a, b) => priceOf(b) - priceOf(a) || (a.id < b.id ? 1 : -1));
  for (const vm of candidates) {
    const key = kindKey(vm);
    const count = excess.get(key) ?? 0;
    if (count <= (desired.get(key) ?? 0)) continue;
    const remaining = live.filter(({ id }) => id !== vm.id);
    if (capacityOf(remaining, demand.unitsByClass) < demand.units * (1 + margin)) continue;
    excess.set(key, count - 1);
    live = remaining;
    stops.push({ action: 'stop', vmId: vm.id });
  }
  return stops;
}

/** Derives starts and returns from the difference between the desired and the held VMs. */
export function planActions(
  input: SupplyInput,
  { targetsOf, capacityOf }: ActionRules,
): readonly SupplyAction[] {
  const { epoch, nextSequence, maxStarts = DEFAULT_MAX_STARTS } = input.options;
  const starts: StartVm[] = [];
  const stops: StopVm[] = [];
  for (const demand of input.demand) {
    const { labels } = demand;
    const held = input.current.filter(
      (vm) => vm.state !== 'leaving' && hasLabels(vm.labels, labels),
    );
    const counts = countByKind(held);
    const targets = targetsOf(demand, counts);
    for (const { kind, count } of targets) {
      const shortfall = count - (counts.get(kindKey(kind)) ?? 0);
      for (let i = 0; i < shortfall && starts.length < maxStarts; i += 1) {
        const requestId = requestIdOf(epoch, nextSequence + starts.length);
        starts.push({ action: 'start', requestId, ...kind, labels });
      }
    }
    stops.push(...stopsFor(demand, held, targets, input, capacityOf));
  }
  return [...starts, ...stops];
}
