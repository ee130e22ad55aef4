import type { Member } from './member.ts';

/** Change in this node's view of a member. */
export interface MembershipEvent {
  /**
   * `renewed`: the local incarnation was declared dead and this node continues under a new one; everything
   * that the old incarnation owned must be released. `replaced`: a newer process runs under the same node
   * identifier and this one must stop.
   */
  readonly kind: 'joined' | 'suspected' | 'refuted' | 'died' | 'left' | 'renewed' | 'replaced';
  readonly member: Member;
}
