import type { Member } from './member.ts';

/** Change of what this node knows about a member. */
export interface MembershipEvent {
  /**
   * `renewed`: this node learned that its own incarnation was declared dead and continues under a new one;
   * whatever the old incarnation owned must be given up. `replaced`: a newer process runs under the same node
   * identifier and this one must stop.
   */
  readonly kind: 'joined' | 'suspected' | 'refuted' | 'died' | 'left' | 'renewed' | 'replaced';
  readonly member: Member;
}
