import type { ReplicaUpdate, ReplicaVerdict } from '@ragwortrudder/requests';

const MAX_UPDATES_PER_MESSAGE = 2048;

type SendUpdates = (updates: readonly ReplicaUpdate[]) => Promise<readonly ReplicaVerdict[]>;

interface PendingUpdate {
  readonly update: ReplicaUpdate;
  readonly resolve: (verdict: ReplicaVerdict) => void;
  readonly reject: (error: unknown) => void;
}

/**
 * Sends replica updates to one node in order, with one message in flight; updates queued meanwhile
 * are batched into the next message.
 */
export class ReplicaLink {
  readonly #send: SendUpdates;
  #queue: PendingUpdate[] = [];
  #isSending = false;

  constructor(send: SendUpdates) {
    this.#send = send;
  }

  /** Queues `update` and resolves with the verdict of the node that holds the replica. */
  async send(update: ReplicaUpdate): Promise<ReplicaVerdict> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ update, resolve, reject });
      void this.#drain();
    });
  }

  async #drain(): Promise<void> {
    if (this.#isSending) return;
    this.#isSending = true;
    while (this.#queue.length > 0)
      await this.#sendBatch(this.#queue.splice(0, MAX_UPDATES_PER_MESSAGE));
    this.#isSending = false;
  }

  async #sendBatch(batch: readonly PendingUpdate[]): Promise<void> {
    try {
      const verdicts = await this.#send(batch.map((pending) => pending.update));
      for (const [index, pending] of batch.entries()) pending.resolve(verdicts[index] ?? 'missing');
    } catch (error) {
      for (const pending of batch) pending.reject(error);
    }
  }
}
