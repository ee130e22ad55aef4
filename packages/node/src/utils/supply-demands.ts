import type { SupplyDemand } from '@ragwortrudder/supply';
import type { SupplyView } from '../types/supply-view.ts';

/** Capacity that a service needs per version; versions that no longer serve need none. */
export function supplyDemands(view: SupplyView): readonly SupplyDemand[] {
  const { name, service, versions, vms, prices } = view;
  const { capacity, kind } = service;
  if (!capacity) return [];
  const { runners, machineClass } = capacity;
  const classes = new Set(prices.map((price) => price.machineClass));
  const suitableClasses = machineClass === undefined ? [...classes] : [machineClass];
  const unitsByClass = Object.fromEntries(suitableClasses.map((className) => [className, 1]));
  const listedVersions = vms
    .map(({ labels }) => labels.version)
    .filter((version) => version !== undefined);
  const unneededVersions = [...new Set(listedVersions)].filter(
    (version) => !versions.includes(version),
  );
  const demandFor = (version: string, units: number): SupplyDemand => ({
    labels: { service: name, version, kind },
    units,
    unitsByClass,
  });
  return [
    ...versions.map((version) => demandFor(version, runners)),
    ...unneededVersions.map((version) => demandFor(version, 0)),
  ];
}
