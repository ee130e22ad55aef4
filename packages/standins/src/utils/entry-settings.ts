import type { FleetMember } from '../types/fleet-member.ts';
import type { FleetTenant } from '../types/fleet-tenant.ts';
import { mergeDeep } from './merge-deep.ts';
import { parseAddress } from './parse-address.ts';

interface EntrySettingsOptions {
  readonly entry: FleetMember;
  readonly seeds: readonly string[];
  readonly platformAddress: string;
  readonly operator: { readonly name: string; readonly key: string };
  readonly tenants: readonly FleetTenant[];
  readonly overrides: Readonly<Record<string, unknown>>;
}

const REGION = 'region-1';
const PEER_KEY = 'peer-key-0123456789abcdef';

/** Builds the settings of an entry node of a fleet. */
export function entrySettings(options: EntrySettingsOptions): Readonly<Record<string, unknown>> {
  const { entry, seeds, platformAddress, operator, tenants, overrides } = options;
  const peers = entry.peerAddress ?? '';
  const settings = {
    node: { id: entry.name, failureDomain: entry.failureDomain, region: REGION },
    listen: { callers: parseAddress(entry.address), peers: parseAddress(peers) },
    advertise: { callers: entry.address, peers },
    platform: { url: `http://${platformAddress}` },
    seeds,
    keys: { peer: PEER_KEY, operators: [operator], tenants },
  };
  return mergeDeep(settings, overrides);
}
