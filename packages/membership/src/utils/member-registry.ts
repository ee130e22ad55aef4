import type { Clock, Incarnation } from '@ragwortrudder/core';
import type { Member } from '../types/member.ts';
import type { MembershipEvent } from '../types/membership-event.ts';
import { isGoneState } from './is-gone-state.ts';
import { supersedes } from './supersedes.ts';

/** Maximum number of nodes whose latest gone incarnation is retained after the member itself is pruned. */
const MAX_GONE_INCARNATIONS = 8192;

function eventKindOf(member: Member, known: Member | undefined): MembershipEvent['kind'] {
  if (member.state === 'dead') return 'died';
  if (member.state === 'left') return 'left';
  if (member.state === 'suspect') return 'suspected';
  return known?.incarnation === member.incarnation ? 'refuted' : 'joined';
}

/** Latest known state of each node. */
export class MemberRegistry {
  readonly #clock: Clock;
  readonly #members = new Map<string, Member>();
  readonly #goneAt = new Map<string, number>();
  readonly #goneIncarnations = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get all(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Members that are alive or suspect. */
  get present(): readonly Member[] {
    return this.all.filter((member) => !isGoneState(member.state));
  }

  get(nodeId: string): Member | undefined {
    return this.#members.get(nodeId);
  }

  /** Applies a membership update and returns the resulting event, or `undefined` if it reports no change. */
  apply(member: Member): MembershipEvent | undefined {
    const known = this.#members.get(member.nodeId);
    if (known && !supersedes(member, known)) return undefined;
    if (isGoneState(member.state)) this.#recordGone(member.nodeId, member.incarnation);
    if (!known && isGoneState(member.state)) return undefined;
    if (known && known.incarnation < member.incarnation) {
      this.#recordGone(known.nodeId, known.incarnation);
    }
    this.#members.set(member.nodeId, member);
    if (isGoneState(member.state)) this.#goneAt.set(member.nodeId, this.#clock.monotonic());
    else this.#goneAt.delete(member.nodeId);
    return { kind: eventKindOf(member, known), member };
  }

  isGone({ nodeId, number }: Incarnation): boolean {
    const gone = this.#goneIncarnations.get(nodeId);
    if (gone !== undefined && number <= gone) return true;
    const known = this.#members.get(nodeId);
    return known !== undefined && number < known.incarnation;
  }

  /** Removes members that have been gone for longer than `retentionMs` and returns their identifiers. */
  prune(retentionMs: number): readonly string[] {
    const limit = this.#clock.monotonic() - retentionMs;
    const pruned = [...this.#goneAt].filter(([, at]) => at < limit).map(([nodeId]) => nodeId);
    for (const nodeId of pruned) {
      this.#members.delete(nodeId);
      this.#goneAt.delete(nodeId);
    }
    return pruned;
  }

  #recordGone(nodeId: string, incarnation: number): void {
    const newest = Math.max(incarnation, this.#goneIncarnations.get(nodeId) ?? incarnation);
    this.#goneIncarnations.delete(nodeId);
    this.#goneIncarnations.set(nodeId, newest);
    if (this.#goneIncarnations.size <= MAX_GONE_INCARNATIONS) return;
    const [oldest] = this.#goneIncarnations.keys();
    if (oldest !== undefined) this.#goneIncarnations.delete(oldest);
  }
}
