import type { Clock, Random } from '@ragwortrudder/core';
import type { SoftState } from '../utils/soft-state.ts';
import type { Member } from './member.ts';
import type { MembershipSettings } from './membership-settings.ts';
import type { PeerTransport } from './peer-transport.ts';

/** Options of the membership of one node. */
export interface MembershipOptions<Report> {
  /** This node, without the fields that the protocol manages. */
  readonly self: Omit<Member, 'state' | 'refutation'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: PeerTransport;
  /** Reports that are exchanged together with the members. */
  readonly reports: SoftState<Report>;
  /** Peer addresses to try while too few members are known, such as those of the settings and of the list of VMs. */
  readonly seeds: () => readonly string[];
  readonly settings?: Partial<MembershipSettings>;
}
