import { inject, injectable } from 'inversify';
import {
  AttemptTracker,
  ExecutionRegistry,
  decideClaim,
  oldestOpenAttempt,
  parseKey,
  unattendedClaims,
} from '@ragwortrudder/claims';
import type {
  ClaimDecision,
  ClaimQuery,
  KeyTransfer,
  ExecutionOutcome,
  Owner,
} from '@ragwortrudder/claims';
import { digest } from '@ragwortrudder/core';
import type { Clock, Incarnation, Random } from '@ragwortrudder/core';
import type { AcceptedRequest } from '@ragwortrudder/requests';
import { ClaimUnavailable } from '../../errors/claim-unavailable.ts';
import type { RunPermit } from '../../types/run-permit.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { toClaimOwner } from '../../utils/to-claim-owner.ts';
import { toIncarnation } from '../../utils/to-incarnation.ts';
import { ClaimStore } from '../configuration/claim-store.ts';
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

/**
 * Ensures that a non-idempotent request runs at most once. For keys chosen by callers the log
 * decides which node runs it; for issued keys the node that issued them does.
 */
@injectable()
export class KeyedRequests {
  readonly #self: LiveIncarnation;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #executorTables = new Map<number, ExecutionRegistry>();
  readonly #claims: ClaimStore;
  readonly #peers: PeerDirectory;
  readonly #metrics: Metrics;
  readonly #tracker = new AttemptTracker();
  /** Former owner of each request that was handed over to this node, by scoped key. */
  readonly #formerOwners = new Map<string, Owner>();
  /** Scoped keys with a request on this node that uses their claim. */
  readonly #activeKeys = new Set<string>();
  readonly #permits = new WeakMap<OwnedRequest, RunPermit>();
  /** Outcomes that could not yet be written to the log. */
  #pendingOutcomes: (() => Promise<void>)[] = [];

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(ClaimStore) claims: ClaimStore,
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

  /** Keys that the current incarnation issued or received from another node. */
  get executor(): ExecutionRegistry {
    return this.#executorTable(this.#self.current);
  }

  /** Digest by which a different request under the same key is detected. */
  digestOf(request: Pick<AcceptedRequest, 'service' | 'input'>): string {
    return digest([request.service, request.input]);
  }

  /** Executor that an issued key names; undefined for a key chosen by the caller. */
  executorOf(key: string): Owner | undefined {
    return parseKey(key)?.executor;
  }

  /**
   * Claims a key chosen by the caller for this node, appending to the log as needed. The result is
   * `run` with step `sending` once the claim is won.
   * @throws {@link ClaimUnavailable} if the claim cannot be recorded; the request is not run here.
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

  /**
   * Forfeits the claims of this incarnation that no request uses, so that other nodes do not wait
   * for them.
   */
  async forfeitInactiveClaims(): Promise<void> {
    if (!this.#claims.available) return;
    const self = toClaimOwner(this.#self.current);
    const isAttended = (tenant: string, key: string): boolean =>
      this.#activeKeys.has(scopedKey({ tenant, key }));
    for (const { tenant, key, attempt } of unattendedClaims(this.#claims.state, {
      self,
      isAttended,
    })) {
      if (!this.#tracker.forfeit(attempt)) continue;
      await this.#claims.write({ type: 'outcome', tenant, key, ...self, attempt, word: 'not-run' });
    }
    this.#tracker.forgetBefore(oldestOpenAttempt(this.#claims.state, this.#claims.position));
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

  /** Permit to send `owned` to a runner; every call returns the same permit. */
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
            tracker: this.#tracker,
            query: () => this.#queryFor(use, owned.incarnation),
          });
    this.#permits.set(owned, permit);
    return permit;
  }

  /**
   * Records the outcome of `owned`; does nothing for an idempotent request. An outcome that cannot
   * be written now is kept and written later.
   */
  async finish(owned: OwnedRequest, word: ExecutionOutcome, result?: unknown): Promise<void> {
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

  /** Number of outcomes that could not yet be written to the log. */
  get pendingOutcomeCount(): number {
    return this.#pendingOutcomes.length;
  }

  /** Writes the pending outcomes to the log, if it is available; those that fail stay pending. */
  async writePendingOutcomes(): Promise<void> {
    if (!this.#claims.available) return;
    const batch = this.#pendingOutcomes;
    this.#pendingOutcomes = [];
    const results = await Promise.allSettled(batch.map((write) => write()));
    const failed = batch.filter((_, index) => results[index]?.status === 'rejected');
    this.#pendingOutcomes.push(...failed);
  }

  /**
   * Transfers the right to run `owned` to `to`, irrevocably; undefined if the request may already
   * be running.
   */
  transferExecution(owned: OwnedRequest, to: Incarnation): KeyTransfer | 'claimed' | undefined {
    const { key = '', keyKind } = owned.request;
    if (!this.permitOf(owned).giveUp()) return undefined;
    if (keyKind === 'issued')
      return this.#executorTable(owned.incarnation).transfer(key, toClaimOwner(to));
    this.#activeKeys.delete(scopedKey(owned.request));
    return 'claimed';
  }

  /** Receives the right to run a request that `from` has handed over. */
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

  #executorTable(incarnation: Incarnation): ExecutionRegistry {
    const existing = this.#executorTables.get(incarnation.number);
    if (existing) return existing;
    const self = toClaimOwner(incarnation);
    const table = new ExecutionRegistry({ self, clock: this.#clock, random: this.#random });
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
      isStarted: (attempt) => this.#tracker.isStarted(attempt),
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
