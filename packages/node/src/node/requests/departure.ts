import { inject, injectable } from 'inversify';
import type { KeyTransfer } from '@ragwortrudder/claims';
import type { Clock } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import type { Settings } from '@ragwortrudder/settings';
import { requestsHandOver } from '../../types/methods/requests-hand-over.ts';
import { tokens } from '../../types/tokens.ts';
import { NodeLife } from '../life/node-life.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { LocalEvents } from './local-events.ts';
import type { OwnedRequest } from './owned-request.ts';
import { RequestTable } from './request-table.ts';
import { ServiceGates } from './service-gates.ts';

const CHECK_PERIOD_MS = 50;
const HAND_OVER_TIMEOUT_MS = 2000;
const MAX_HAND_OVER_TRIES = 3;

interface Grace {
  /** Time until the node must be gone in milliseconds. */
  readonly totalMs: number;
  /** Number of callers' streams that are open on this node. */
  readonly openStreams: () => number;
}

/** Planned stop of this node: finishes what it can in time and gives the rest to peers. */
@injectable()
export class Departure {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #life: NodeLife;
  readonly #peers: PeerDirectory;
  readonly #client: PeerClient;
  readonly #table: RequestTable;
  readonly #gates: ServiceGates;
  readonly #keyed: KeyedRequests;
  readonly #local: LocalEvents;
  readonly #metrics: Metrics;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(NodeLife) life: NodeLife,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(PeerClient) client: PeerClient,
    @inject(RequestTable) table: RequestTable,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyed: KeyedRequests,
    @inject(LocalEvents) local: LocalEvents,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#life = life;
    this.#peers = peers;
    this.#client = client;
    this.#table = table;
    this.#gates = gates;
    this.#keyed = keyed;
    this.#local = local;
    this.#metrics = metrics;
  }

  /** Stops taking requests and resolves when nothing is left to do here, or the grace period ends. */
  async run({ totalMs, openStreams }: Grace): Promise<void> {
    const endsAt = this.#clock.monotonic() + totalMs;
    const { handOverMs } = this.#settings.shutdown;
    this.#life.leave();
    await this.#handOverAll(({ state }) => state !== 'running');
    await this.#waitUntil(() => this.#table.open === 0, endsAt - Math.min(handOverMs, totalMs / 2));
    await this.#handOverAll(() => true);
    const isDone = (): boolean => this.#table.open === 0 && openStreams() === 0;
    await this.#waitUntil(isDone, endsAt);
    await this.#keyed.writePostponed();
    this.#life.end({ handedOver: isDone() });
  }

  async #handOverAll(test: (owned: OwnedRequest) => boolean): Promise<void> {
    await Promise.all(this.#table.unfinished.filter(test).map((owned) => this.#handOver(owned)));
  }

  async #handOver(owned: OwnedRequest): Promise<void> {
    const { holder } = owned.replication;
    const available = this.#peers.available;
    const target = available.find(({ nodeId }) => nodeId === holder?.nodeId) ?? available[0];
    if (!target) return;
    const { request } = owned;
    const right = request.idempotent
      ? undefined
      : this.#keyed.giveAway(owned, { nodeId: target.nodeId, number: target.incarnation });
    if (!request.idempotent && right === undefined) return;
    this.#gates.of(request.service).withdraw(request.id);
    owned.transfer(target.nodeId);
    const taken = await this.#send(owned, target, right === 'claimed' ? undefined : right);
    owned.replication.stop({ release: taken && holder?.nodeId !== target.nodeId });
    this.#metrics.count('requests_handed_over', { taken: String(taken) });
  }

  async #send(
    owned: OwnedRequest,
    target: Member,
    transfer: KeyTransfer | undefined,
  ): Promise<boolean> {
    const params = { copy: owned.replication.copy(), ...(transfer ? { transfer } : {}) };
    for (let tried = 0; tried < MAX_HAND_OVER_TRIES; tried += 1) {
      try {
        const answer = await this.#client.call({
          address: target.peerAddress,
          method: requestsHandOver,
          params,
          timeoutMs: HAND_OVER_TIMEOUT_MS,
        });
        return answer.taken;
      } catch {
        await this.#local.pause(CHECK_PERIOD_MS, new AbortController().signal);
      }
    }
    return false;
  }

  async #waitUntil(test: () => boolean, deadline: number): Promise<void> {
    while (!test() && this.#clock.monotonic() < deadline) {
      await this.#local.pause(CHECK_PERIOD_MS, new AbortController().signal);
    }
  }
}
