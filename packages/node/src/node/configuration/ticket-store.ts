import { randomUUID } from 'node:crypto';
import { inject, injectable } from 'inversify';
import { PeriodicTask, digest } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { LogFollower, Position } from '@ragwortrudder/log';
import type { Settings } from '@ragwortrudder/settings';
import { submissionStatus, ticketFold, ticketStatus } from '@ragwortrudder/tickets';
import type { Service, Ticket, TicketState, TicketStatus } from '@ragwortrudder/tickets';
import { ServiceUnknown } from '../../errors/service-unknown.ts';
import { logPrefix } from '../../types/methods/log-prefix.ts';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { FollowedStream } from './followed-stream.ts';

const STREAM = 'tickets';
const PEER_READ_PERIOD_MS = 1000;
const PEER_READ_TIMEOUT_MS = 2000;
const PEER_READ_RECORDS = 500;

/**
 * The effective configuration. Follows the stream of tickets, and reads the prefix that a peer has
 * while the log is unavailable.
 */
@injectable()
export class TicketStore implements Closeable {
  readonly #settings: Settings;
  readonly #random: Random;
  readonly #peers: PeerDirectory;
  readonly #client: PeerClient;
  readonly #metrics: Metrics;
  readonly #stream: FollowedStream<TicketState>;
  readonly #follower: LogFollower<TicketState>;
  readonly #peerReads: PeriodicTask;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#random = random;
    this.#peers = peers;
    this.#client = client;
    this.#metrics = metrics;
    const onFailure = (): void => {
      metrics.count('configuration_task_failures');
    };
    this.#stream = new FollowedStream({
      stream: STREAM,
      fold: ticketFold,
      settings,
      clock,
      random,
      writesSnapshots: () => peers.hasLowestId,
      onFailure,
    });
    this.#follower = this.#stream.follower;
    this.#peerReads = new PeriodicTask({
      periodMs: PEER_READ_PERIOD_MS,
      run: () => this.#readFromPeer(),
      onFailure,
    });
    methods.serve(logPrefix, (range) => this.#follower.exportPrefix(range));
    metrics.gauge('log_lag_ms', 'Age of the configuration in milliseconds.', () => this.lagMs);
  }

  get state(): TicketState {
    return this.#follower.state;
  }

  /** Offset up to which this node has applied tickets, and the chained hash of that prefix. */
  get applied(): { readonly next: number; readonly hash: string } {
    return { next: this.#follower.next, hash: this.#follower.hash };
  }

  /** True once this node has read the log up to what was its end at that time. */
  get ready(): boolean {
    return this.#follower.caughtUp;
  }

  /** Time in milliseconds since the configuration was last known to be up to date. */
  get lagMs(): number {
    return this.#follower.lagMs;
  }

  /** True while the log is reachable for reads. */
  get logReachable(): boolean {
    return this.#stream.reachable;
  }

  /**
   * Returns the definition of service `name`.
   * @throws {@link ServiceUnknown} when no accepted ticket defines it.
   */
  service(name: string): Service {
    const service = Object.hasOwn(this.state.services, name)
      ? this.state.services[name]?.service
      : undefined;
    if (!service) throw new ServiceUnknown(name);
    return service;
  }

  /** Appends `ticket` to the log and returns its status once it has been read back. */
  async submit(ticket: Ticket): Promise<TicketStatus> {
    const id = `ticket-${ticket.number}-${digest(ticket)}`;
    await this.#stream.writer.write({ kind: 'ticket', ticket }, { id });
    return submissionStatus(
      this.state,
      { number: ticket.number, entryId: id },
      this.#appliedByDomain(),
    );
  }

  /** Writes the decision that ends a rollout and resolves once it has been read back. */
  async writeDecision(decision: {
    readonly ticket: number;
    readonly service: string;
    readonly word: 'done' | 'undone';
    readonly reason: string;
  }): Promise<Position> {
    const by = this.#settings.node.id;
    return this.#stream.writer.write({ kind: 'move-word', ...decision, by }, { id: randomUUID() });
  }

  /** Returns the status of ticket `number` and the failure domains in which it is in force. */
  status(number: number): TicketStatus {
    return ticketStatus(this.state, number, this.#appliedByDomain());
  }

  /** Calls `listener` after each configuration change; returns a function that unsubscribes it. */
  subscribe(listener: () => void): () => void {
    return this.#follower.subscribe(listener);
  }

  start(): void {
    this.#stream.start();
    this.#peerReads.start();
  }

  async close(): Promise<void> {
    await this.#peerReads.close();
    await this.#stream.close();
  }

  #appliedByDomain(): Readonly<Record<string, number>> {
    const applied: Record<string, number> = {};
    const recordApplied = (domain: string, next: number): void => {
      applied[domain] = Math.min(applied[domain] ?? Infinity, next);
    };
    recordApplied(this.#settings.node.failureDomain, this.#follower.next);
    const reports = new Map(this.#peers.reports.map((entry) => [entry.nodeId, entry.value]));
    for (const member of this.#peers.reachable) {
      recordApplied(member.failureDomain, reports.get(member.nodeId)?.tickets.next ?? 0);
    }
    return applied;
  }

  async #readFromPeer(): Promise<void> {
    const isCurrent = this.logReachable && this.ready;
    const peers = this.#peers.reachable;
    const peer = peers[Math.floor(this.#random.next() * peers.length)];
    if (isCurrent || !peer) return;
    const prefix = await this.#client.call({
      address: peer.peerAddress,
      method: logPrefix,
      params: { from: this.#follower.next, limit: PEER_READ_RECORDS },
      timeoutMs: PEER_READ_TIMEOUT_MS,
    });
    const recordCount = this.#follower.applyPrefix(prefix);
    this.#metrics.count('records_from_peers', {}, recordCount);
  }
}
