import type { SupplyDemand } from '@ragwortrudder/supply';
import type { SupplyView } from '../types/supply-view.ts';

/** Capacity that a service needs, by version; versions that no longer serve need none. */
export function supplyDemands(view: SupplyView): readonly SupplyDemand[] {
  const { name, service, versions, vms, prices } = view;
  const { capacity, kind } = service;
  if (!capacity) return [];
  const { runners, machineClass } = capacity;
  const classes = new Set(prices.map((price) => price.machineClass));
  const suitable = machineClass === undefined ? [...classes] : [machineClass];
  const unitsByClass = Object.fromEntries(suitable.map((one) => [one, 1]));
  const listed = vms.map(({ labels }) => labels.version).filter((one) => one !== undefined);
  const idle = [...new Set(listed)].filter((version) => !versions.includes(version));
  const demandFor = (version: string, units: number): SupplyDemand => ({
    labels: { service: name, version, kind },
    units,
    unitsByClass,
  });
  return [
    ...versions.map((version) => demandFor(version, runners)),
    ...idle.map((version) => demandFor(version, 0)),
  ];
}
