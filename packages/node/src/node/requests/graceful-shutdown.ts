import { inject, injectable } from 'inversify';
import type { KeyTransfer } from '@ragwortrudder/claims';
import type { Clock } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import type { Settings } from '@ragwortrudder/settings';
import { requestsHandOver } from '../../types/methods/requests-hand-over.ts';
import { tokens } from '../../types/tokens.ts';
import { NodeLifecycle } from '../lifecycle/node-lifecycle.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { LocalEvents } from './local-events.ts';
import type { OwnedRequest } from './owned-request.ts';
import { RequestRegistry } from './request-registry.ts';
import { ServiceGates } from './service-gates.ts';

const CHECK_PERIOD_MS = 50;
const HAND_OVER_TIMEOUT_MS = 2000;
const MAX_HAND_OVER_ATTEMPTS = 3;

interface ShutdownOptions {
  /** Time until the node must have stopped, in milliseconds. */
  readonly graceMs: number;
  /** Number of event streams to callers that are open on this node. */
  readonly openStreams: () => number;
}

/**
 * Planned shutdown of this node: finishes the requests that can end within the grace period and
 * hands the others over to peers.
 */
@injectable()
export class GracefulShutdown {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #life: NodeLifecycle;
  readonly #peers: PeerDirectory;
  readonly #client: PeerClient;
  readonly #requests: RequestRegistry;
  readonly #gates: ServiceGates;
  readonly #keyedRequests: KeyedRequests;
  readonly #localEvents: LocalEvents;
  readonly #metrics: Metrics;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(NodeLifecycle) life: NodeLifecycle,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(PeerClient) client: PeerClient,
    @inject(RequestRegistry) requests: RequestRegistry,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(LocalEvents) localEvents: LocalEvents,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#life = life;
    this.#peers = peers;
    this.#client = client;
    this.#requests = requests;
    this.#gates = gates;
    this.#keyedRequests = keyedRequests;
    this.#localEvents = localEvents;
    this.#metrics = metrics;
  }

  /**
   * Stops accepting requests; resolves once all requests and streams of this node have ended, or
   * the grace period is over.
   */
  async run({ graceMs, openStreams }: ShutdownOptions): Promise<void> {
    const endsAt = this.#clock.monotonic() + graceMs;
    const { handOverMs } = this.#settings.shutdown;
    this.#life.leave();
    await this.#handOverAll(({ state }) => state !== 'running');
    await this.#waitUntil(
      () => this.#requests.open === 0,
      endsAt - Math.min(handOverMs, graceMs / 2),
    );
    await this.#handOverAll(() => true);
    const isDone = (): boolean => this.#requests.open === 0 && openStreams() === 0;
    await this.#waitUntil(isDone, endsAt);
    await this.#keyedRequests.writePendingOutcomes();
    this.#life.end({ handedOver: isDone() });
  }

  async #handOverAll(predicate: (owned: OwnedRequest) => boolean): Promise<void> {
    await Promise.all(
      this.#requests.unfinished.filter(predicate).map((owned) => this.#handOver(owned)),
    );
  }

  async #handOver(owned: OwnedRequest): Promise<void> {
    const { holder } = owned.replication;
    const available = this.#peers.available;
    const target = available.find(({ nodeId }) => nodeId === holder?.nodeId) ?? available[0];
    if (!target) return;
    const { request } = owned;
    const executionTransfer = request.idempotent
      ? undefined
      : this.#keyedRequests.transferExecution(owned, {
          nodeId: target.nodeId,
          number: target.incarnation,
        });
    if (!request.idempotent && executionTransfer === undefined) return;
    this.#gates.of(request.service).withdraw(request.id);
    owned.transfer(target.nodeId);
    const isTaken = await this.#send(
      owned,
      target,
      executionTransfer === 'claimed' ? undefined : executionTransfer,
    );
    owned.replication.stop({ release: isTaken && holder?.nodeId !== target.nodeId });
    this.#metrics.count('requests_handed_over', { taken: String(isTaken) });
  }

  async #send(
    owned: OwnedRequest,
    target: Member,
    transfer: KeyTransfer | undefined,
  ): Promise<boolean> {
    const params = { copy: owned.replication.copy(), ...(transfer ? { transfer } : {}) };
    for (let attempt = 0; attempt < MAX_HAND_OVER_ATTEMPTS; attempt += 1) {
      try {
        const response = await this.#client.call({
          address: target.peerAddress,
          method: requestsHandOver,
          params,
          timeoutMs: HAND_OVER_TIMEOUT_MS,
        });
        return response.taken;
      } catch {
        await this.#localEvents.pause(CHECK_PERIOD_MS, new AbortController().signal);
      }
    }
    return false;
  }

  async #waitUntil(predicate: () => boolean, deadline: number): Promise<void> {
    while (!predicate() && this.#clock.monotonic() < deadline) {
      await this.#localEvents.pause(CHECK_PERIOD_MS, new AbortController().signal);
    }
  }
}
