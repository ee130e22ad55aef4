import { inject, injectable } from 'inversify';
import type { Clock, Incarnation } from '@ragwortrudder/core';
import { ReplicaTable } from '@ragwortrudder/requests';
import type { ReplicaUpdate, RequestCopy } from '@ragwortrudder/requests';
import type { Settings } from '@ragwortrudder/settings';
import { replicasUpdate } from '../../types/methods/replicas-update.ts';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerMethods } from '../peers/peer-methods.ts';

/** Replicas that this node holds for other owners. */
@injectable()
export class ReplicaStore {
  readonly #table = new ReplicaTable();
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
    metrics.gauge('replicas', 'Replicas held for other nodes.', () => this.#table.size);
  }

  get size(): number {
    return this.#table.size;
  }

  /** Replica of request `id`. */
  get(id: string): RequestCopy | undefined {
    return this.#table.get(id);
  }

  /** Replica of the request under an idempotency key. */
  findByKey(tenant: string, key: string): RequestCopy | undefined {
    return this.#table.findByKey(tenant, key);
  }

  /** Ids of unfinished requests whose owner satisfies `test`. */
  ownedBy(test: (owner: Incarnation) => boolean): readonly string[] {
    return this.#table.ownedBy(test);
  }

  /** Takes the replica of `id` out, for this node to own the request; later updates of its owner are refused. */
  promote(id: string, owner: Incarnation): RequestCopy | undefined {
    return this.#table.promote(id, owner);
  }

  /** Refuses later updates of an owner that gave `copy` away. */
  supersede(copy: RequestCopy, owner: Incarnation): void {
    this.#table.apply({ kind: 'put', copy }, this.#clock.monotonic());
    this.#table.promote(copy.request.id, owner);
  }

  /** Drops finished replicas past their retention. */
  sweep(): void {
    this.#table.sweep(this.#clock.monotonic(), this.#retentionMs);
  }

  /** Forgets requests that this node owned and has dropped. */
  forget(ids: readonly string[]): void {
    for (const id of ids) this.#table.forget(id);
  }

  #apply(update: ReplicaUpdate): ReturnType<ReplicaTable['apply']> {
    return this.#table.apply(update, this.#clock.monotonic());
  }
}
