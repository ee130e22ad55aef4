import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Address } from '@ragwortrudder/catalog';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { createJSONRPCNotification, isJSONRPCRequest } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { NodeReport } from '../types/node-report.ts';
import { TopicFeed } from '../types/topic-feed.ts';
import type { DecisionLog } from './decision-log.ts';

interface PeersOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Makes the report that goes to every peer. */
  readonly report: (isLeaving: boolean) => NodeReport;
  /** Receives a peer's report; `isFirst` when it was not heard before, or not for a while. */
  readonly onReport: (report: NodeReport, isFirst: boolean) => void;
  /** Receives what a peer of the same failure domain read. */
  readonly onFeed: (feed: TopicFeed) => void;
}

interface Peer {
  readonly address: Address;
  readonly failureDomain: string | undefined;
  readonly life: number;
  readonly sequence: number;
  /** When its last report arrived; undefined when it has not been heard yet. */
  readonly heardAt: number | undefined;
  readonly knownAt: number;
  readonly duty: number;
  readonly isSilent: boolean;
}

const REPORT_METHOD = 'report';
const FEED_METHOD = 'feed';
/** Nodes of a failure domain that read topics for all of it. */
const READERS = 2;
/** Pause between two reports, in milliseconds, with up to `FULL_RATE_PEERS` peers. */
const REPORT_MS = 200;
/** Peers above which reports become rarer, so that a node's cost stays flat. */
const FULL_RATE_PEERS = 32;
/** Silence after which a peer counts as unheard, in milliseconds: several reports in a row lost. */
const UNHEARD_MS = 1_000;
/** Silence after which a peer is forgotten, in milliseconds: longer than partitions that heal by themselves. */
const FORGET_MS = 15_000;

/** Silence after which a peer is taken to be dead rather than cut off, in milliseconds: cuts of a failure domain are mostly shorter. */
const DEAD_MS = 7_000;

/** Time within which a peer that lives and is reached is heard for the first time, in milliseconds. */
const FIRST_REPORT_MS = 2_500;

/** Datagrams between the nodes: each tells all others of its work, over and over. */
export class Peers implements Closeable {
  readonly #options: PeersOptions;
  readonly #peers = new Map<string, Peer>();
  #hasResigned = false;
  #socket: Socket | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
  }

  /** Nodes that are known, this one included. */
  get known(): number {
    return this.#peers.size + 1;
  }

  /** Nodes that are heard, this one included. */
  get heard(): number {
    return this.heardIds().length + 1;
  }

  /** A peer that seems alive has told nothing within the last `ms`: what it did since is not known yet. */
  isMissingSince(ms: number): boolean {
    const now = this.#options.clock.monotonic();
    return [...this.#peers.values()].some(({ heardAt, knownAt }) => {
      if (heardAt === undefined) return now - knownAt < FIRST_REPORT_MS;
      return now - heardAt > ms && now - heardAt < DEAD_MS;
    });
  }

  /** Names of the peers that are heard. */
  heardIds(): readonly string[] {
    const now = this.#options.clock.monotonic();
    return [...this.#peers].filter(([, peer]) => this.#isHeard(peer, now)).map(([id]) => id);
  }

  /** The newest holder of the duty term has told that it gave it up. */
  get hasHolderResigned(): boolean {
    return this.#hasResigned;
  }

  /** Newest duty term that a heard peer holds; 0 when none does. */
  newestDuty(): number {
    const now = this.#options.clock.monotonic();
    const duties = [...this.#peers.values()]
      .filter((peer) => this.#isHeard(peer, now))
      .map(({ duty }) => duty);
    return Math.max(0, ...duties);
  }

  /** This node is one of those that read topics for its failure domain. */
  get isReader(): boolean {
    const { node } = this.#options;
    return this.#domainPeers().filter(([id]) => id < node).length < READERS;
  }

  /** Tells the other nodes of the failure domain what was read. */
  async feed(feed: TopicFeed): Promise<void> {
    const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(FEED_METHOD, feed)));
    await Promise.all(this.#domainPeers().map(([, { address }]) => this.#send(bytes, address)));
  }

  async start(): Promise<void> {
    const socket = createSocket('udp4');
    this.#socket = socket;
    socket.on('message', (bytes) => {
      this.#receive(bytes);
    });
    socket.on('error', (error) => {
      this.#options.log.notable('peer-socket-failed', { reason: error.message });
    });
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
    this.#schedule();
  }

  /** Takes in a peer from the list of nodes. */
  introduce(id: string, address: Address): void {
    if (id === this.#options.node || this.#peers.has(id)) return;
    const knownAt = this.#options.clock.monotonic();
    this.#peers.set(id, {
      address,
      failureDomain: undefined,
      life: 0,
      sequence: 0,
      heardAt: undefined,
      knownAt,
      duty: 0,
      isSilent: true,
    });
  }

  /** Sends a report to all peers now; settles once it is on its way. */
  async tell(isLeaving = false): Promise<void> {
    const notification = createJSONRPCNotification(REPORT_METHOD, this.#options.report(isLeaving));
    const bytes = Buffer.from(JSON.stringify(notification));
    const addresses = [...this.#peers.values()].map(({ address }) => address);
    await Promise.all(addresses.map((address) => this.#send(bytes, address)));
  }

  close(): Promise<void> {
    clearTimeout(this.#timer);
    this.#socket?.close();
    this.#socket = undefined;
    return Promise.resolve();
  }

  #domainPeers(): readonly (readonly [string, Peer])[] {
    const now = this.#options.clock.monotonic();
    const { failureDomain } = this.#options;
    return [...this.#peers].filter(
      ([, peer]) => peer.failureDomain === failureDomain && this.#isHeard(peer, now),
    );
  }

  #send(bytes: Buffer, { host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      if (!this.#socket) {
        resolve();
        return;
      }
      this.#socket.send(bytes, port, host, (error) => {
        if (error) this.#options.log.routine('peer-send-failed', { reason: error.message });
        resolve();
      });
    });
  }

  #schedule(): void {
    const pauseMs = REPORT_MS * Math.max(1, this.#peers.size / FULL_RATE_PEERS);
    this.#timer = setTimeout(() => {
      this.#forgetSilent();
      void this.tell();
      this.#schedule();
    }, pauseMs);
  }

  #isHeard({ heardAt }: Peer, now: number): boolean {
    const limitMs = UNHEARD_MS * Math.max(1, this.#peers.size / FULL_RATE_PEERS);
    return heardAt !== undefined && now - heardAt < limitMs;
  }

  #forgetSilent(): void {
    const now = this.#options.clock.monotonic();
    for (const [id, peer] of this.#peers) {
      const silentMs = now - (peer.heardAt ?? peer.knownAt);
      if (silentMs > FORGET_MS) {
        this.#peers.delete(id);
        this.#options.log.notable('peer-forgotten', { peer: id, silentMs: Math.round(silentMs) });
      } else if (!peer.isSilent && !this.#isHeard(peer, now)) {
        this.#peers.set(id, { ...peer, isSilent: true });
        this.#options.log.notable('peer-lost', { peer: id, silentMs: Math.round(silentMs) });
      }
    }
  }

  #receive(bytes: Buffer): void {
    const message = messageIn(bytes);
    const feed = message?.method === FEED_METHOD && TopicFeed.safeParse(message.params).data;
    if (feed) {
      this.#options.onFeed(feed);
      return;
    }
    const report = message && NodeReport.safeParse(message.params).data;
    if (!report) {
      this.#options.log.routine('peer-message-unreadable', { bytes: bytes.length });
      return;
    }
    this.#takeReport(report);
  }

  #takeReport(report: NodeReport): void {
    if (report.node === this.#options.node) return;
    const known = this.#peers.get(report.node);
    if (
      known &&
      (report.life < known.life ||
        (report.life === known.life && report.sequence <= known.sequence))
    )
      return;
    if (!known || known.isSilent) this.#options.log.notable('peer-heard', { peer: report.node });
    if (report.duty > 0) this.#hasResigned = false;
    else if (known && known.duty > 0 && known.life === report.life) this.#hasResigned = true;
    const now = this.#options.clock.monotonic();
    this.#peers.set(report.node, {
      address: { host: report.host, port: report.port },
      failureDomain: report.failureDomain,
      life: report.life,
      sequence: report.sequence,
      heardAt: now,
      knownAt: known?.knownAt ?? now,
      duty: report.duty,
      isSilent: false,
    });
    this.#options.onReport(report, known?.life !== report.life || known.isSilent);
    if (!report.isLeaving) return;
    this.#peers.delete(report.node);
    this.#options.log.notable('peer-left', { peer: report.node });
  }
}

function messageIn(bytes: Buffer): JSONRPCRequest | undefined {
  try {
    const message: unknown = JSON.parse(bytes.toString());
    return isJSONRPCRequest(message) ? message : undefined;
  } catch {
    return undefined;
  }
}
