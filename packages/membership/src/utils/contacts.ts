import type { Clock } from '@ragwortrudder/core';
import type { Member } from '../types/member.ts';

/** Failed direct contacts in a row after which a failure domain counts as unreachable. */
const UNREACHABLE_FAILURES = 3;

interface Suspicion {
  readonly incarnation: number;
  readonly since: number;
  readonly failedRounds: number;
}

/** What this node itself saw of the others: contacts, and suspicions of its own. */
export class Contacts {
  readonly #clock: Clock;
  readonly #domainFailures = new Map<string, number>();
  readonly #suspicions = new Map<string, Suspicion>();
  #heardAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Monotonic time of the last message from anybody. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Identifiers of the members that this node suspects itself. */
  get suspects(): readonly string[] {
    return [...this.#suspicions.keys()];
  }

  suspicionOf(member: Member): Suspicion | undefined {
    const suspicion = this.#suspicions.get(member.nodeId);
    return suspicion?.incarnation === member.incarnation ? suspicion : undefined;
  }

  /** Notes a message that came directly from `member`. */
  direct(member: Member): void {
    this.#domainFailures.set(member.failureDomain, 0);
    this.indirect(member);
  }

  /** Notes a reply of `member` that another node passed on. */
  indirect(member: Member): void {
    this.#heardAt = this.#clock.monotonic();
    this.#suspicions.delete(member.nodeId);
  }

  /** Notes that `member` did not answer directly. */
  directFailed(member: Member): void {
    this.#domainFailures.set(member.failureDomain, this.failuresOf(member.failureDomain) + 1);
  }

  /** Notes a round in which `member` answered neither directly nor through others. */
  roundFailed(member: Member): void {
    const known = this.suspicionOf(member);
    this.#suspicions.set(member.nodeId, {
      incarnation: member.incarnation,
      since: known?.since ?? this.#clock.monotonic(),
      failedRounds: (known?.failedRounds ?? 0) + 1,
    });
  }

  forget(nodeId: string): void {
    this.#suspicions.delete(nodeId);
  }

  /** Starts every suspicion over, after a time in which this node itself did not run. */
  restart(): void {
    const since = this.#clock.monotonic();
    for (const [nodeId, { incarnation }] of this.#suspicions) {
      this.#suspicions.set(nodeId, { incarnation, since, failedRounds: 0 });
    }
  }

  /** Failed direct contacts with a domain since the last one that worked. */
  failuresOf(failureDomain: string): number {
    return this.#domainFailures.get(failureDomain) ?? 0;
  }

  isReachable(failureDomain: string): boolean {
    return this.failuresOf(failureDomain) < UNREACHABLE_FAILURES;
  }
}
