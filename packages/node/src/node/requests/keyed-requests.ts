import { inject, injectable } from 'inversify';
import {
  AttemptLedger,
  ExecutorTable,
  decideClaim,
  oldestOpenAttempt,
  parseKey,
  unattendedClaims,
} from '@ragwortrudder/claims';
import type {
  ClaimDecision,
  ClaimQuery,
  KeyTransfer,
  OutcomeWord,
  Owner,
} from '@ragwortrudder/claims';
import { digest } from '@ragwortrudder/core';
import type { Clock, Incarnation, Random } from '@ragwortrudder/core';
import type { AcceptedRequest } from '@ragwortrudder/requests';
import { ClaimUnavailable } from '../../errors/claim-unavailable.ts';
import type { RunPermit } from '../../types/run-permit.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../life/live-incarnation.ts';
import { toClaimOwner } from '../../utils/to-claim-owner.ts';
import { toIncarnation } from '../../utils/to-incarnation.ts';
import { ClaimBoard } from '../configuration/claim-board.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { ClaimedPermit } from './claimed-permit.ts';
import { IssuedPermit } from './issued-permit.ts';
import type { OwnedRequest } from './owned-request.ts';

const CLAIM_RETRY_AFTER_MS = 1000;
const CLAIM_VALIDITY_MS = 10_000;
const MAX_CLAIM_STEPS = 4;

interface KeyUse {
  readonly tenant: string;
  readonly key: string;
  readonly requestDigest: string;
}

/** Keeps non-idempotent requests to one run: by the log for callers' own keys, by this node for keys it issued. */
@injectable()
export class KeyedRequests {
  readonly #self: LiveIncarnation;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #executorTables = new Map<number, ExecutorTable>();
  readonly #claims: ClaimBoard;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #ledger = new AttemptLedger();
  /** Former owners that gave a request to this node. */
  readonly #formerOwners = new Map<string, Owner>();
  /** Keys whose claim a request of this node pursues. */
  readonly #activeKeys = new Set<string>();
  readonly #permits = new WeakMap<OwnedRequest, RunPermit>();
  /** Outcomes that could not be written to the log yet. */
  #pendingOutcomes: (() => Promise<void>)[] = [];

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(ClaimBoard) claims: ClaimBoard,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#claims = claims;
    this.#peers = peers;
    this.#metrics = metrics;
    this.#random = random;
  }

  /** Keys that the present incarnation issued or was given. */
  get executor(): ExecutorTable {
    return this.#executorTable(this.#self.current);
  }

  /** Digest that tells two requests under one key apart. */
  digestOf(request: Pick<AcceptedRequest, 'service' | 'input'>): string {
    return digest([request.service, request.input]);
  }

  /** Incarnation that an issued key names; undefined for a caller's own key. */
  executorOf(key: string): Owner | undefined {
    return parseKey(key)?.executor;
  }

  /**
   * Claims a caller's own key for this node, appending to the log as needed. The result is `run`
   * with step `sending` once the claim is won.
   * @throws {@link ClaimUnavailable} when the claim cannot be recorded; it will not be run here.
   */
  async claim(use: KeyUse, service: string): Promise<ClaimDecision> {
    this.#activeKeys.add(scopedKey(use));
    try {
      const decision = await this.#claim(use, service);
      if (decision.kind !== 'run') this.#activeKeys.delete(scopedKey(use));
      return decision;
    } catch (error) {
      this.#activeKeys.delete(scopedKey(use));
      throw error;
    }
  }

  /** Gives up the claims of this incarnation that no request pursues, so that no other node waits for them. */
  async forfeitInactiveClaims(): Promise<void> {
    if (!this.#claims.available) return;
    const self = toClaimOwner(this.#self.current);
    const isAttended = (tenant: string, key: string): boolean =>
      this.#activeKeys.has(scopedKey({ tenant, key }));
    for (const { tenant, key, attempt } of unattendedClaims(this.#claims.state, {
      self,
      isAttended,
    })) {
      if (!this.#ledger.forfeit(attempt)) continue;
      await this.#claims.write({ type: 'outcome', tenant, key, ...self, attempt, word: 'not-run' });
    }
    this.#ledger.forgetBefore(oldestOpenAttempt(this.#claims.state, this.#claims.position));
  }

  async #claim(use: KeyUse, service: string): Promise<ClaimDecision> {
    for (let step = 0; step < MAX_CLAIM_STEPS; step += 1) {
      const decision = decideClaim(this.#claims.state, this.#queryFor(use));
      if (decision.kind !== 'run' || decision.step === 'sending' || decision.step === 'send')
        return decision;
      if (decision.step === 'takeover') return decision;
      await this.#appendClaim(use, service);
    }
    throw new ClaimUnavailable(CLAIM_RETRY_AFTER_MS);
  }

  /** Permission to send `owned` to a runner; the same one at every call. */
  permitOf(owned: OwnedRequest): RunPermit {
    const existing = this.#permits.get(owned);
    if (existing) return existing;
    const { tenant, key = '', keyKind } = owned.request;
    const use = { tenant, key, requestDigest: this.digestOf(owned.request) };
    const permit =
      keyKind === 'issued'
        ? new IssuedPermit(this.#executorTable(owned.incarnation), key)
        : new ClaimedPermit({
            claims: this.#claims,
            ledger: this.#ledger,
            query: () => this.#queryFor(use, owned.incarnation),
          });
    this.#permits.set(owned, permit);
    return permit;
  }

  /** Records the outcome of `owned`; does nothing for an idempotent request. */
  async finish(owned: OwnedRequest, word: OutcomeWord, result?: unknown): Promise<void> {
    if (owned.request.idempotent) return;
    const permit = this.permitOf(owned);
    this.#activeKeys.delete(scopedKey(owned.request));
    try {
      await permit.finish(word, result);
    } catch {
      this.#metrics.count('outcomes_postponed', { word });
      this.#pendingOutcomes.push(() => permit.finish(word, result));
    }
  }

  /** Number of outcomes that could not be written yet. */
  get pendingOutcomeCount(): number {
    return this.#pendingOutcomes.length;
  }

  /** Writes the outcomes that could not be written before. */
  async writePendingOutcomes(): Promise<void> {
    if (!this.#claims.available) return;
    const batch = this.#pendingOutcomes;
    this.#pendingOutcomes = [];
    const results = await Promise.allSettled(batch.map((write) => write()));
    const failed = batch.filter((_, index) => results[index]?.status === 'rejected');
    this.#pendingOutcomes.push(...failed);
  }

  /** Gives the right to run `owned` to `to`, for good; undefined when it may already be running. */
  transferExecution(owned: OwnedRequest, to: Incarnation): KeyTransfer | 'claimed' | undefined {
    const { key = '', keyKind } = owned.request;
    if (!this.permitOf(owned).giveUp()) return undefined;
    if (keyKind === 'issued')
      return this.#executorTable(owned.incarnation).transfer(key, toClaimOwner(to));
    this.#activeKeys.delete(scopedKey(owned.request));
    return 'claimed';
  }

  /** Takes the right to run a request that `from` gave away. */
  receiveExecution(
    request: AcceptedRequest,
    from: Incarnation,
    transfer: KeyTransfer | undefined,
  ): void {
    if (request.idempotent || request.key === undefined) return;
    this.#formerOwners.set(scopedKey(request), toClaimOwner(from));
    this.#activeKeys.add(scopedKey(request));
    if (!transfer) return;
    this.executor.receive(transfer);
    this.executor.accept({
      tenant: request.tenant,
      key: request.key,
      requestDigest: this.digestOf(request),
    });
  }

  #executorTable(incarnation: Incarnation): ExecutorTable {
    const existing = this.#executorTables.get(incarnation.number);
    if (existing) return existing;
    const self = toClaimOwner(incarnation);
    const table = new ExecutorTable({ self, clock: this.#clock, random: this.#random });
    this.#executorTables.set(incarnation.number, table);
    return table;
  }

  #queryFor(use: KeyUse, self: Incarnation = this.#self.current): ClaimQuery {
    const formerOwner = this.#formerOwners.get(scopedKey(use));
    return {
      ...use,
      self: toClaimOwner(self),
      isGone: (owner) =>
        (owner.node === formerOwner?.node && owner.incarnation === formerOwner.incarnation) ||
        this.#peers.isGone(toIncarnation(owner)),
      isStarted: (attempt) => this.#ledger.isStarted(attempt),
      logAvailable: this.#claims.available,
      retryAfterMs: CLAIM_RETRY_AFTER_MS,
    };
  }

  async #appendClaim(use: KeyUse, service: string): Promise<void> {
    try {
      const position = await this.#claims.write({
        type: 'claim',
        ...use,
        ...toClaimOwner(this.#self.current),
        service,
        validUntil: this.#clock.wall() + CLAIM_VALIDITY_MS,
      });
      this.#metrics.count('claims', {
        result: this.#claims.find(use.tenant, use.key)?.attempt === position ? 'won' : 'lost',
      });
    } catch {
      this.#metrics.count('claims', { result: 'unavailable' });
      throw new ClaimUnavailable(CLAIM_RETRY_AFTER_MS);
    }
  }
}

function scopedKey({
  tenant,
  key = '',
}: {
  readonly tenant: string;
  readonly key?: string | undefined;
}): string {
  return `${tenant}/${key}`;
}
