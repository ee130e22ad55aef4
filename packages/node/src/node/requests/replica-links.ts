import { inject, injectable } from 'inversify';
import type { ReplicaUpdate, ReplicaVerdict } from '@ragwortrudder/requests';
import type { Settings } from '@ragwortrudder/settings';
import { replicasUpdate } from '../../types/methods/replicas-update.ts';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { ReplicaLink } from './replica-link.ts';

/** Links to the nodes that hold replicas for this one, one link for each node. */
@injectable()
export class ReplicaLinks {
  readonly #links = new Map<string, ReplicaLink>();
  readonly #settings: Settings;
  readonly #client: PeerClient;
  readonly #metrics: Metrics;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(PeerClient) client: PeerClient,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#client = client;
    this.#metrics = metrics;
  }

  /**
   * Sends `update` to the node at `address`, batched with other queued updates.
   * @throws `PeerUnreachable` if no response arrived; the update may have taken effect.
   */
  async send(address: string, update: ReplicaUpdate): Promise<ReplicaVerdict> {
    return this.#linkTo(address).send(update);
  }

  #linkTo(address: string): ReplicaLink {
    const existing = this.#links.get(address);
    if (existing) return existing;
    const link = new ReplicaLink(async (updates) => {
      this.#metrics.count('replica_messages');
      this.#metrics.count('replica_updates', {}, updates.length);
      const { verdicts } = await this.#client.call({
        address,
        method: replicasUpdate,
        params: { updates },
        timeoutMs: this.#settings.requests.replicaTimeoutMs,
      });
      return verdicts;
    });
    this.#links.set(address, link);
    return link;
  }
}
