import type { Clock } from '@ragwortrudder/core';
import type { Member } from '../types/member.ts';

/** Consecutive failed direct probes after which a failure domain counts as unreachable. */
const UNREACHABLE_FAILURES = 3;

interface Suspicion {
  readonly incarnation: number;
  readonly since: number;
  readonly failedRounds: number;
}

/** Tracks this node's own probe results: the last contact, failures by domain, and local suspicions. */
export class ContactTracker {
  readonly #clock: Clock;
  readonly #domainFailures = new Map<string, number>();
  readonly #suspicions = new Map<string, Suspicion>();
  #lastContactAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Monotonic time of the last message from any member. */
  get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Identifiers of the members that this node itself failed to reach. */
  get suspects(): readonly string[] {
    return [...this.#suspicions.keys()];
  }

  suspicionOf(member: Member): Suspicion | undefined {
    const suspicion = this.#suspicions.get(member.nodeId);
    return suspicion?.incarnation === member.incarnation ? suspicion : undefined;
  }

  /** Records a message received directly from `member`. */
  recordDirectContact(member: Member): void {
    this.#domainFailures.set(member.failureDomain, 0);
    this.recordIndirectContact(member);
  }

  /** Records a reply of `member` that was relayed by another node. */
  recordIndirectContact(member: Member): void {
    this.#lastContactAt = this.#clock.monotonic();
    this.#suspicions.delete(member.nodeId);
  }

  /** Records a failed direct probe of `member`. */
  recordDirectFailure(member: Member): void {
    this.#domainFailures.set(member.failureDomain, this.failuresOf(member.failureDomain) + 1);
  }

  /** Records a round in which both the direct and the indirect probes of `member` failed. */
  recordFailedRound(member: Member): void {
    const known = this.suspicionOf(member);
    this.#suspicions.set(member.nodeId, {
      incarnation: member.incarnation,
      since: known?.since ?? this.#clock.monotonic(),
      failedRounds: (known?.failedRounds ?? 0) + 1,
    });
  }

  clearSuspicion(nodeId: string): void {
    this.#suspicions.delete(nodeId);
  }

  /** Restarts every suspicion timer; called after a pause of the local process, during which no replies could arrive. */
  restartSuspicions(): void {
    const since = this.#clock.monotonic();
    for (const [nodeId, { incarnation }] of this.#suspicions) {
      this.#suspicions.set(nodeId, { incarnation, since, failedRounds: 0 });
    }
  }

  /** Returns the number of failed direct probes of a domain since the last successful one. */
  failuresOf(failureDomain: string): number {
    return this.#domainFailures.get(failureDomain) ?? 0;
  }

  isReachable(failureDomain: string): boolean {
    return this.failuresOf(failureDomain) < UNREACHABLE_FAILURES;
  }
}
