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

/** The configuration in force: follows the stream of tickets, and a peer's prefix while the log is out. */
@injectable()
export class TicketBoard implements Closeable {
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

  /** Offset up to which tickets are applied here, and the chained hash of that prefix. */
  get applied(): { readonly next: number; readonly hash: string } {
    return { next: this.#follower.next, hash: this.#follower.hash };
  }

  /** True once this node knows a prefix of the log that reached its end. */
  get ready(): boolean {
    return this.#follower.caughtUp;
  }

  /** Time in milliseconds since the configuration was known to be the newest. */
  get lagMs(): number {
    return this.#follower.lagMs;
  }

  /** True while the log answers reads. */
  get logReachable(): boolean {
    return this.#stream.reachable;
  }

  /**
   * The service `name` as tickets describe it.
   * @throws {@link ServiceUnknown}
   */
  service(name: string): Service {
    const service = Object.hasOwn(this.state.services, name)
      ? this.state.services[name]?.service
      : undefined;
    if (!service) throw new ServiceUnknown(name);
    return service;
  }

  /** Publishes `ticket` and returns its status once it is read back. */
  async submit(ticket: Ticket): Promise<TicketStatus> {
    const id = `ticket-${ticket.number}-${digest(ticket)}`;
    await this.#stream.writer.write({ kind: 'ticket', ticket }, { id });
    return submissionStatus(
      this.state,
      { number: ticket.number, entryId: id },
      this.#appliedByDomain(),
    );
  }

  /** Writes the final word of a move and resolves once it is read back. */
  async writeWord(word: {
    readonly ticket: number;
    readonly service: string;
    readonly word: 'done' | 'undone';
    readonly reason: string;
  }): Promise<Position> {
    const by = this.#settings.node.id;
    return this.#stream.writer.write({ kind: 'move-word', ...word, by }, { id: randomUUID() });
  }

  /** What has become of ticket `number`, and where it is in force. */
  status(number: number): TicketStatus {
    return ticketStatus(this.state, number, this.#appliedByDomain());
  }

  /** Calls `listener` after each change of the configuration. */
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
    const note = (domain: string, next: number): void => {
      applied[domain] = Math.min(applied[domain] ?? Infinity, next);
    };
    note(this.#settings.node.failureDomain, this.#follower.next);
    const reports = new Map(this.#peers.reports.map((entry) => [entry.nodeId, entry.value]));
    for (const member of this.#peers.reachable) {
      note(member.failureDomain, reports.get(member.nodeId)?.tickets.next ?? 0);
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
    const gained = this.#follower.applyPrefix(prefix);
    this.#metrics.count('records_from_peers', {}, gained);
  }
}
