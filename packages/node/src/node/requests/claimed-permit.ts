import { decideClaim } from '@ragwortrudder/claims';
import type {
  AttemptTracker,
  ClaimDecision,
  ClaimQuery,
  ExecutionOutcome,
  Owner,
} from '@ragwortrudder/claims';
import type { Failure } from '@ragwortrudder/core';
import type { Outcome } from '@ragwortrudder/requests';
import { ClaimUnavailable } from '../../errors/claim-unavailable.ts';
import { InProgressElsewhere } from '../../errors/in-progress-elsewhere.ts';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import type { RunPermit } from '../../types/run-permit.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import type { ClaimStore } from '../configuration/claim-store.ts';

const CLAIM_RETRY_AFTER_MS = 1000;
const MAX_BEGIN_STEPS = 8;

interface ClaimedPermitOptions {
  readonly claims: Pick<ClaimStore, 'state' | 'find' | 'write'>;
  readonly tracker: AttemptTracker;
  /** Reads the current inputs of a claim decision; `self` never changes. */
  readonly query: () => ClaimQuery;
}

/**
 * {@link RunPermit} for a key chosen by the caller: the log decides which node may send the
 * request.
 */
export class ClaimedPermit implements RunPermit {
  readonly #claims: ClaimedPermitOptions['claims'];
  readonly #tracker: AttemptTracker;
  readonly #query: () => ClaimQuery;
  /** Attempt that this permit, and no other one of this node, has begun to send. */
  #sendingAttempt: number | undefined;
  #isBeginPending = false;

  constructor({ claims, tracker, query }: ClaimedPermitOptions) {
    this.#claims = claims;
    this.#tracker = tracker;
    this.#query = query;
  }

  async begin(): Promise<Outcome | undefined> {
    this.#isBeginPending = true;
    try {
      return await this.#acquire();
    } finally {
      this.#isBeginPending = false;
    }
  }

  /**
   * Records the outcome of the attempt that this permit began. If it began none, records `not-run`
   * for an attempt that this incarnation owns and that has not begun.
   */
  async finish(outcome: ExecutionOutcome, result?: unknown): Promise<void> {
    const attempt = this.#sendingAttempt ?? this.#forfeit();
    if (attempt === undefined) return;
    const { tenant, key, self } = this.#query();
    await this.#claims.write({
      type: 'outcome',
      tenant,
      key,
      ...self,
      attempt,
      word: this.#sendingAttempt === undefined ? 'not-run' : outcome,
      ...(result === undefined ? {} : { result }),
    });
  }

  /**
   * Gives up the right to send, so that another node can take it over; false if an attempt has
   * begun or is about to begin.
   */
  giveUp(): boolean {
    return (
      this.#sendingAttempt === undefined && !this.#isBeginPending && this.#forfeit() !== undefined
    );
  }

  async #acquire(): Promise<Outcome | undefined> {
    for (let step = 0; step < MAX_BEGIN_STEPS; step += 1) {
      const decision = decideClaim(this.#claims.state, this.#query());
      if (decision.kind !== 'run' || decision.step === 'claim') return this.#toRefusal(decision);
      const { attempt } = decision;
      if (decision.step === 'send') {
        if (!this.#tracker.begin(attempt)) return this.#toRefusal(decision);
        this.#sendingAttempt = attempt;
        return undefined;
      }
      const failure = await this.#append(
        decision.step === 'takeover' ? decision.from : undefined,
        attempt,
      );
      if (failure) return toOutcome(failure);
    }
    return toOutcome(new ClaimUnavailable(CLAIM_RETRY_AFTER_MS));
  }

  /**
   * Appends a `takeover` entry if `from` is given, else a `sending` entry; returns the failure if
   * the append was not confirmed.
   */
  async #append(from: Owner | undefined, attempt: number): Promise<Failure | undefined> {
    const { tenant, key, self } = this.#query();
    try {
      if (from)
        await this.#claims.write({ type: 'takeover', tenant, key, attempt, from, to: self });
      else await this.#claims.write({ type: 'sending', tenant, key, ...self, attempt });
      return undefined;
    } catch {
      const isForfeited = this.#tracker.forfeit(attempt);
      return isForfeited
        ? new ClaimUnavailable(CLAIM_RETRY_AFTER_MS)
        : new InProgressElsewhere(self.node);
    }
  }

  /**
   * Forfeits the attempt that this incarnation owns if it has not begun, and returns it; undefined
   * if there is none.
   */
  #forfeit(): number | undefined {
    const { tenant, key, self } = this.#query();
    const record = this.#claims.find(tenant, key);
    const isOwn = record?.owner.node === self.node && record.owner.incarnation === self.incarnation;
    if (!record || !isOwn || !this.#tracker.forfeit(record.attempt)) return undefined;
    return record.attempt;
  }

  #toRefusal(decision: ClaimDecision): Outcome {
    const { key, self } = this.#query();
    if (decision.kind === 'unknown') return toOutcome(new OutcomeUnknown(key));
    const mayBeInProgress =
      decision.kind === 'wait' || decision.kind === 'answer' || decision.kind === 'run';
    return toOutcome(
      mayBeInProgress
        ? new InProgressElsewhere(self.node)
        : new ClaimUnavailable(CLAIM_RETRY_AFTER_MS),
    );
  }
}
