import type { ReplicaUpdate } from '../types/replica-update.ts';
import type { ReplicaVerdict } from '../types/replica-verdict.ts';
import type { RequestCopy } from '../types/request-copy.ts';
import { nextEpoch } from './next-epoch.ts';
import { StoredReplica } from './stored-replica.ts';

/**
 * Replicas that this node stores for other owners. The replica arbitrates between an owner and its
 * successor: once a request has been promoted, every update of an earlier epoch is `superseded`, so
 * an owner that was paused cannot commit further events.
 */
export class ReplicaRegistry {
  readonly #replicas = new Map<string, StoredReplica>();
  readonly #promotedEpochs = new Map<string, number>();

  /** Number of stored replicas. */
  get size(): number {
    return this.#replicas.size;
  }

  /** Returns the replica of request `id`, if stored. */
  get(id: string): RequestCopy | undefined {
    return this.#replicas.get(id)?.copy;
  }

  /** Returns the replica of the request with an idempotency key, if stored. */
  findByKey(tenant: string, key: string): RequestCopy | undefined {
    for (const replica of this.#replicas.values()) {
      if (replica.request.key === key && replica.request.tenant === tenant) return replica.copy;
    }
    return undefined;
  }

  /** Ids of the unfinished requests whose owner satisfies `predicate`. */
  unfinishedOwnedBy(predicate: (owner: RequestCopy['owner']) => boolean): readonly string[] {
    return [...this.#replicas]
      .filter(([, replica]) => !replica.finished && predicate(replica.owner))
      .map(([id]) => id);
  }

  /** Applies an update from an owner, unless a later owner exists. */
  apply(update: ReplicaUpdate, now: number): ReplicaVerdict {
    const id = update.kind === 'put' ? update.copy.request.id : update.id;
    const epoch = update.kind === 'put' ? update.copy.epoch : update.epoch;
    if (epoch < this.#epochOf(id)) return 'superseded';
    if (update.kind === 'put') return this.#store(update.copy, now);
    if (update.kind === 'release') return this.#release(id);
    const replica = this.#replicas.get(id);
    if (replica?.epoch !== epoch) return 'missing';
    return replica.append(update.events, now);
  }

  /**
   * Removes the replica of `id` because this node becomes its owner, and returns the copy with the
   * next epoch; `undefined` when there is no replica.
   */
  promote(id: string, owner: RequestCopy['owner']): RequestCopy | undefined {
    const replica = this.#replicas.get(id);
    if (!replica) return undefined;
    const epoch = nextEpoch(replica.epoch, owner.nodeId);
    this.#replicas.delete(id);
    this.#promotedEpochs.set(id, epoch);
    return { ...replica.copy, owner, epoch };
  }

  /** Removes finished replicas not updated for `retentionMs` and returns how many were removed. */
  sweep(now: number, retentionMs: number): number {
    const before = this.#replicas.size;
    for (const [id, replica] of this.#replicas) {
      if (replica.finished && now - replica.updatedAt > retentionMs) {
        this.#replicas.delete(id);
      }
    }
    return before - this.#replicas.size;
  }

  /** Removes the record that `id` was promoted, once its new owner has dropped the request. */
  clearPromotion(id: string): void {
    this.#promotedEpochs.delete(id);
  }

  #epochOf(id: string): number {
    return Math.max(this.#promotedEpochs.get(id) ?? 0, this.#replicas.get(id)?.epoch ?? 0);
  }

  #store(copy: RequestCopy, now: number): ReplicaVerdict {
    this.#replicas.set(copy.request.id, new StoredReplica(copy, now));
    return 'ok';
  }

  #release(id: string): ReplicaVerdict {
    this.#replicas.delete(id);
    return 'ok';
  }
}
