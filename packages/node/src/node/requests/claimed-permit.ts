import { decideClaim } from '@ragwortrudder/claims';
import type { AttemptLedger, ClaimQuery, OutcomeWord, Owner } from '@ragwortrudder/claims';
import type { Failure } from '@ragwortrudder/core';
import type { Outcome } from '@ragwortrudder/requests';
import { ClaimUnavailable } from '../../errors/claim-unavailable.ts';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import type { RunPermit } from '../../types/run-permit.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import type { ClaimBoard } from '../configuration/claim-board.ts';

const RETRY_AFTER_MS = 1000;
const MAX_STEPS = 8;

interface ClaimedPermitOptions {
  readonly claims: ClaimBoard;
  readonly ledger: AttemptLedger;
  readonly query: ClaimQuery;
}

/** {@link RunPermit} of a key that the caller made: the log decides which node may send. */
export class ClaimedPermit implements RunPermit {
  readonly #claims: ClaimBoard;
  readonly #ledger: AttemptLedger;
  readonly #query: ClaimQuery;
  readonly #owner: Owner;
  #attempt: number | undefined;

  constructor({ claims, ledger, query }: ClaimedPermitOptions) {
    this.#claims = claims;
    this.#ledger = ledger;
    this.#query = query;
    this.#owner = query.self;
  }

  async begin(): Promise<Outcome | undefined> {
    for (let step = 0; step < MAX_STEPS; step += 1) {
      const decision = decideClaim(this.#claims.state, {
        ...this.#query,
        logAvailable: this.#claims.available,
      });
      if (decision.kind === 'unknown') return toOutcome(new OutcomeUnknown(this.#query.key));
      if (decision.kind !== 'run') return this.#refusal();
      if (decision.step === 'claim') return this.#refusal();
      this.#attempt = decision.attempt;
      if (decision.step === 'send')
        return this.#ledger.begin(decision.attempt) ? undefined : this.#refusal();
      const failure = await this.#append(
        decision.step === 'takeover' ? decision.from : undefined,
        decision.attempt,
      );
      if (failure) return toOutcome(failure);
    }
    return this.#refusal();
  }

  async finish(word: OutcomeWord, result?: unknown): Promise<void> {
    const { tenant, key } = this.#query;
    const attempt = this.#attempt ?? this.#claims.find(tenant, key)?.attempt;
    if (attempt === undefined) return;
    if (word === 'not-run') this.#ledger.forfeit(attempt);
    await this.#claims.write({
      type: 'outcome',
      tenant,
      key,
      ...this.#owner,
      attempt,
      word,
      ...(result === undefined ? {} : { result }),
    });
    this.#ledger.forget(attempt);
  }

  /** Appends `takeover` when `from` is given, else `sending`; returns why that failed. */
  async #append(from: Owner | undefined, attempt: number): Promise<Failure | undefined> {
    const { tenant, key, self } = this.#query;
    try {
      if (from)
        await this.#claims.write({ type: 'takeover', tenant, key, attempt, from, to: self });
      else await this.#claims.write({ type: 'sending', tenant, key, ...this.#owner, attempt });
      return undefined;
    } catch {
      this.#ledger.forfeit(attempt);
      return new ClaimUnavailable(RETRY_AFTER_MS);
    }
  }

  #refusal(): Outcome {
    return toOutcome(new ClaimUnavailable(RETRY_AFTER_MS));
  }
}
