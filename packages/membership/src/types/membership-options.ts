import type { Clock, Random } from '@ragwortrudder/core';
import type { SoftState } from '../utils/soft-state.ts';
import type { Member } from './member.ts';
import type { MembershipSettings } from './membership-settings.ts';
import type { PeerTransport } from './peer-transport.ts';

/** Options of the membership of one node. */
export interface MembershipOptions<Report> {
  /** The local node, without the fields that the protocol manages. */
  readonly self: Omit<Member, 'state' | 'refutation'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: PeerTransport;
  /** Reports that are gossiped together with membership updates. */
  readonly reports: SoftState<Report>;
  /** Peer addresses for joining the cluster and for finding lost members, such as those in the settings and the VM list. */
  readonly seeds: () => readonly string[];
  readonly settings?: Partial<MembershipSettings>;
}
