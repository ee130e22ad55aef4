import { inject, injectable } from 'inversify';
import type { Clock, Incarnation } from '@ragwortrudder/core';
import { ReplicaRegistry } from '@ragwortrudder/requests';
import type { ReplicaUpdate, RequestCopy } from '@ragwortrudder/requests';
import type { Settings } from '@ragwortrudder/settings';
import { replicasUpdate } from '../../types/methods/replicas-update.ts';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerMethods } from '../peers/peer-methods.ts';

/** Replicas that this node holds for requests of other nodes. */
@injectable()
export class ReplicaStore {
  readonly #replicas = new ReplicaRegistry();
  readonly #clock: Clock;
  readonly #retentionMs: number;

  constructor(
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.settings) settings: Settings,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#clock = clock;
    this.#retentionMs = settings.requests.retentionMs;
    methods.serve(replicasUpdate, ({ updates }) => ({
      verdicts: updates.map((update) => this.#apply(update)),
    }));
    metrics.gauge('replicas', 'Replicas held for other nodes.', () => this.#replicas.size);
  }

  get size(): number {
    return this.#replicas.size;
  }

  /** Replica of request `id`. */
  get(id: string): RequestCopy | undefined {
    return this.#replicas.get(id);
  }

  /** Replica of the request under an idempotency key of `tenant`. */
  findByKey(tenant: string, key: string): RequestCopy | undefined {
    return this.#replicas.findByKey(tenant, key);
  }

  /** Ids of unfinished requests whose owner satisfies `predicate`. */
  ownedBy(predicate: (owner: Incarnation) => boolean): readonly string[] {
    return this.#replicas.unfinishedOwnedBy(predicate);
  }

  /**
   * Removes and returns the replica of `id`, so that this node can own the request; later updates
   * from the previous owner are refused.
   */
  promote(id: string, owner: Incarnation): RequestCopy | undefined {
    return this.#replicas.promote(id, owner);
  }

  /** Makes the store refuse later updates from the owner that handed `copy` over. */
  supersede(copy: RequestCopy, owner: Incarnation): void {
    this.#replicas.apply({ kind: 'put', copy }, this.#clock.monotonic());
    this.#replicas.promote(copy.request.id, owner);
  }

  /** Drops finished replicas whose retention period is over. */
  sweep(): void {
    this.#replicas.sweep(this.#clock.monotonic(), this.#retentionMs);
  }

  /** Forgets requests that this node owned and no longer retains. */
  forget(ids: readonly string[]): void {
    for (const id of ids) this.#replicas.clearPromotion(id);
  }

  #apply(update: ReplicaUpdate): ReturnType<ReplicaRegistry['apply']> {
    return this.#replicas.apply(update, this.#clock.monotonic());
  }
}
