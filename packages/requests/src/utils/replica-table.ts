import type { ReplicaUpdate } from '../types/replica-update.ts';
import type { ReplicaVerdict } from '../types/replica-verdict.ts';
import type { RequestCopy } from '../types/request-copy.ts';
import { nextEpoch } from './next-epoch.ts';
import { HeldReplica } from './held-replica.ts';

/**
 * Replicas that this node holds for other owners. The holder decides between an owner and its
 * successor: once it has promoted a request, every update of an earlier epoch is `superseded`, so
 * an owner that was paused can show no further event.
 */
export class ReplicaTable {
  readonly #replicas = new Map<string, HeldReplica>();
  readonly #promoted = new Map<string, number>();

  /** Number of replicas held. */
  get size(): number {
    return this.#replicas.size;
  }

  /** Replica of request `id`, if held. */
  get(id: string): RequestCopy | undefined {
    return this.#replicas.get(id)?.copy;
  }

  /** Replica of the request under an idempotency key, if held. */
  findByKey(tenant: string, key: string): RequestCopy | undefined {
    for (const replica of this.#replicas.values()) {
      if (replica.request.key === key && replica.request.tenant === tenant) return replica.copy;
    }
    return undefined;
  }

  /** Ids of the unfinished requests whose owner satisfies `test`. */
  ownedBy(test: (owner: RequestCopy['owner']) => boolean): readonly string[] {
    return [...this.#replicas]
      .filter(([, replica]) => !replica.finished && test(replica.owner))
      .map(([id]) => id);
  }

  /** Applies an update of an owner. */
  apply(update: ReplicaUpdate, now: number): ReplicaVerdict {
    const id = update.kind === 'put' ? update.copy.request.id : update.id;
    const epoch = update.kind === 'put' ? update.copy.epoch : update.epoch;
    if (epoch < this.#epochOf(id)) return 'superseded';
    if (update.kind === 'put') return this.#store(update.copy, now);
    if (update.kind === 'release') return this.#release(id);
    const held = this.#replicas.get(id);
    if (held?.epoch !== epoch) return 'missing';
    return held.append(update.events, now);
  }

  /**
   * Removes the replica of `id` for its new owner, this node, and returns the copy with the next
   * epoch; undefined when it is not held.
   */
  promote(id: string, owner: RequestCopy['owner']): RequestCopy | undefined {
    const held = this.#replicas.get(id);
    if (!held) return undefined;
    const epoch = nextEpoch(held.epoch, owner.nodeId);
    this.#replicas.delete(id);
    this.#promoted.set(id, epoch);
    return { ...held.copy, owner, epoch };
  }

  /** Drops finished replicas not touched for `retentionMs` and returns how many were dropped. */
  sweep(now: number, retentionMs: number): number {
    const before = this.#replicas.size;
    for (const [id, replica] of this.#replicas) {
      if (replica.finished && now - replica.touchedAt > retentionMs) {
        this.#replicas.delete(id);
      }
    }
    return before - this.#replicas.size;
  }

  /** Forgets that `id` was promoted, once its new owner has dropped it. */
  forget(id: string): void {
    this.#promoted.delete(id);
  }

  #epochOf(id: string): number {
    return Math.max(this.#promoted.get(id) ?? 0, this.#replicas.get(id)?.epoch ?? 0);
  }

  #store(copy: RequestCopy, now: number): ReplicaVerdict {
    this.#replicas.set(copy.request.id, new HeldReplica(copy, now));
    return 'ok';
  }

  #release(id: string): ReplicaVerdict {
    this.#replicas.delete(id);
    return 'ok';
  }
}
