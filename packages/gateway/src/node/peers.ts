import type { Address } from '@ragwortrudder/catalog';
import type { Clock, Closeable } from '@ragwortrudder/core';
import { DomainDigest } from '../types/domain-digest.ts';
import { NodeReport } from '../types/node-report.ts';
import { PromptNotice } from '../types/prompt-notice.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import { TopicFeed } from '../types/topic-feed.ts';
import { reportPace } from '../utils/report-pace.ts';
import type { DecisionLog } from './decision-log.ts';
import { PeerSocket } from './peer-socket.ts';

interface PeersOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Fencing token of the duty term that this node holds; 0 when it holds none. */
  readonly duty: () => number;
  /** Makes this node's report. */
  readonly report: (extent: ReportExtent) => NodeReport;
  /** Makes the digest of this node's failure domain. */
  readonly digest: (members: DomainDigest['members']) => DomainDigest;
  /** Receives a peer's report; `isFirst` when it was not heard before, or not for a while. */
  readonly onReport: (report: NodeReport, isFirst: boolean) => void;
  /** Receives the digest of another failure domain. */
  readonly onDigest: (digest: DomainDigest) => void;
  /** Receives that a peer sent a long prompt. */
  readonly onPrompt: (notice: PromptNotice) => void;
  /** Receives what a peer of the same failure domain read. */
  readonly onFeed: (feed: TopicFeed) => void;
}

interface Peer {
  readonly address: Address;
  readonly failureDomain: string | undefined;
  readonly life: number;
  readonly sequence: number;
  /** When it was last heard, itself or by a relay; undefined when it has not been heard yet. */
  readonly heardAt: number | undefined;
  readonly knownAt: number;
  readonly duty: number;
  readonly isSilent: boolean;
}

const REPORT_METHOD = 'report';
const DIGEST_METHOD = 'digest';
const FEED_METHOD = 'feed';
const PROMPT_METHOD = 'prompt';
/** Nodes of a failure domain that read topics for all of it, and tell the other domains of it. */
const RELAYS = 2;
/** Pause between two reports in a small deployment, in milliseconds. */
const REPORT_MS = 200;
/** Pause between two accounts of usage and demand to the holder of the duties in a large deployment, in milliseconds. */
const ACCOUNT_MS = 700;
/** Silence after which a peer counts as unheard, in milliseconds: several reports in a row lost. */
const UNHEARD_MS = 1_000;
/** Silence after which a peer is forgotten, in milliseconds: longer than partitions that heal by themselves. */
const FORGET_MS = 15_000;
/** Silence after which a peer is taken to be dead rather than cut off, in milliseconds: cuts of a failure domain are mostly shorter. */
const DEAD_MS = 7_000;
/** Time within which a peer that lives and is reached is heard for the first time, in milliseconds. */
const FIRST_REPORT_MS = 2_500;

/**
 * The other nodes: who is known and heard, and what they tell over and over. A few nodes tell each
 * other everything. In a large deployment a node tells its own failure domain, relays tell the other
 * domains a digest of theirs, and only the holder of the duties gets the accounts.
 */
export class Peers implements Closeable {
  readonly #options: PeersOptions;
  readonly #socket: PeerSocket;
  readonly #peers = new Map<string, Peer>();
  readonly #digestSequences = new Map<string, number>();
  #hasResigned = false;
  /** Multiplies the silence after which a peer counts as unheard. */
  #unheardFactor = 1;
  #accountedAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#socket = new PeerSocket({
      address: options.address,
      log: options.log,
      onMessage: (method, params) => {
        this.#receive(method, params);
      },
    });
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
    return this.#holder()?.duty ?? 0;
  }

  /** This node is one of those that read topics for its failure domain, and tell others of it. */
  get isRelay(): boolean {
    const { node } = this.#options;
    return this.#heardInDomain().filter(([id]) => id < node).length < RELAYS;
  }

  /** Tells the other nodes of the failure domain what was read. */
  async feed(feed: TopicFeed): Promise<void> {
    await this.#socket.send(FEED_METHOD, feed, addressesOf(this.#heardInDomain()));
  }

  /** Tells that this node has sent a long prompt, before the next report does. */
  async tellPrompt(runner: string, tokens: number): Promise<void> {
    const now = this.#options.clock.monotonic();
    const heard = this.#isLarge
      ? this.#heardInDomain()
      : [...this.#peers].filter(([, peer]) => this.#isHeard(peer, now));
    const notice: PromptNotice = { node: this.#options.node, runner, tokens: Math.round(tokens) };
    await this.#socket.send(PROMPT_METHOD, notice, addressesOf(heard));
  }

  async start(): Promise<void> {
    await this.#socket.start();
    this.#schedule();
  }

  /** Takes in a peer from the list of nodes. */
  introduce(id: string, address: Address, failureDomain: string): void {
    if (id === this.#options.node || this.#peers.has(id)) return;
    const knownAt = this.#options.clock.monotonic();
    this.#peers.set(id, {
      address,
      failureDomain,
      life: 0,
      sequence: 0,
      heardAt: undefined,
      knownAt,
      duty: 0,
      isSilent: true,
    });
  }

  /** Sends a whole report to all peers now; settles once it is on its way. */
  async tellAll(isLeaving = false): Promise<void> {
    const report = this.#options.report({ isLeaving, hasAccount: true });
    await this.#socket.send(REPORT_METHOD, report, addressesOf([...this.#peers]));
  }

  close(): Promise<void> {
    clearTimeout(this.#timer);
    return this.#socket.close();
  }

  get #isLarge(): boolean {
    return this.#pace() !== undefined;
  }

  async #tell(): Promise<void> {
    if (!this.#isLarge) {
      await this.tellAll();
      return;
    }
    const { failureDomain } = this.#options;
    const peers = [...this.#peers];
    const near = peers.filter(([, peer]) => peer.failureDomain === failureDomain);
    const report = this.#options.report({ isLeaving: false, hasAccount: false });
    await this.#socket.send(REPORT_METHOD, report, addressesOf(near));
    await this.#account();
    if (!this.isRelay) return;
    const far = peers.filter(([, peer]) => peer.failureDomain !== failureDomain);
    const digest = this.#options.digest(this.#members());
    await this.#socket.send(DIGEST_METHOD, digest, addressesOf(far));
  }

  async #account(): Promise<void> {
    const now = this.#options.clock.monotonic();
    const holder = this.#holder();
    if (!holder || now - this.#accountedAt < ACCOUNT_MS) return;
    this.#accountedAt = now;
    const report = this.#options.report({ isLeaving: false, hasAccount: true });
    await this.#socket.send(REPORT_METHOD, report, [holder.address]);
  }

  #holder(): Peer | undefined {
    const now = this.#options.clock.monotonic();
    let holder: Peer | undefined;
    for (const peer of this.#peers.values()) {
      if (peer.duty > (holder?.duty ?? 0) && this.#isHeard(peer, now)) holder = peer;
    }
    return holder;
  }

  /** Nodes of the failure domain that are heard, this one included. */
  #members(): DomainDigest['members'] {
    const { node, address, duty } = this.#options;
    const heard = this.#heardInDomain().map(([id, peer]): [string, [string, number, number]] => [
      id,
      [peer.address.host, peer.address.port, peer.duty],
    ]);
    return { ...Object.fromEntries(heard), [node]: [address.host, address.port, duty()] };
  }

  #heardInDomain(): readonly (readonly [string, Peer])[] {
    const now = this.#options.clock.monotonic();
    const { failureDomain } = this.#options;
    return [...this.#peers].filter(
      ([, peer]) => peer.failureDomain === failureDomain && this.#isHeard(peer, now),
    );
  }

  #pace(): ReturnType<typeof reportPace> {
    return reportPace([...this.#peers.values()], this.#options.failureDomain);
  }

  #schedule(): void {
    this.#timer = setTimeout(
      () => {
        this.#forgetSilent();
        void this.#tell();
        this.#schedule();
      },
      REPORT_MS * (this.#pace()?.telling ?? 1),
    );
  }

  #isHeard({ heardAt }: Peer, now: number): boolean {
    return heardAt !== undefined && now - heardAt < UNHEARD_MS * this.#unheardFactor;
  }

  #forgetSilent(): void {
    const now = this.#options.clock.monotonic();
    this.#unheardFactor = this.#pace()?.listening ?? 1;
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

  #receive(method: string, params: unknown): void {
    if (method === REPORT_METHOD) {
      const report = NodeReport.safeParse(params).data;
      if (report) this.#takeReport(report);
      return;
    }
    if (method === DIGEST_METHOD) {
      const digest = DomainDigest.safeParse(params).data;
      if (digest) this.#takeDigest(digest);
      return;
    }
    if (method === PROMPT_METHOD) {
      const notice = PromptNotice.safeParse(params).data;
      if (notice) this.#options.onPrompt(notice);
      return;
    }
    const feed = method === FEED_METHOD ? TopicFeed.safeParse(params).data : undefined;
    if (feed) this.#options.onFeed(feed);
    else this.#options.log.routine('peer-message-unreadable', { method });
  }

  #takeReport(report: NodeReport): void {
    if (report.node === this.#options.node) return;
    const known = this.#peers.get(report.node);
    if (known && isOld(report, known)) return;
    const isSameLife = known?.life === report.life;
    const isFirst = !isSameLife || known.isSilent;
    if (isSameLife && known.duty > 0 && report.duty === 0) this.#hasResigned = true;
    this.#noteHeard(report.node, {
      address: { host: report.host, port: report.port },
      failureDomain: report.failureDomain,
      life: report.life,
      sequence: report.sequence,
      duty: report.duty,
    });
    this.#options.onReport(report, isFirst);
    if (!report.isLeaving) return;
    this.#peers.delete(report.node);
    this.#options.log.notable('peer-left', { peer: report.node });
  }

  #takeDigest(digest: DomainDigest): void {
    const { relay, failureDomain, life, sequence, members } = digest;
    if (failureDomain === this.#options.failureDomain) return;
    const key = `${relay} ${life}`;
    if (sequence <= (this.#digestSequences.get(key) ?? 0)) return;
    this.#digestSequences.set(key, sequence);
    for (const [id, [host, port, duty]] of Object.entries(members)) {
      const known = this.#peers.get(id);
      this.#noteHeard(id, {
        address: { host, port },
        failureDomain,
        life: known?.life ?? 0,
        sequence: known?.sequence ?? 0,
        duty,
      });
    }
    this.#options.onDigest(digest);
  }

  #noteHeard(id: string, told: Omit<Peer, 'heardAt' | 'knownAt' | 'isSilent'>): void {
    const known = this.#peers.get(id);
    if (!known || known.isSilent) this.#options.log.notable('peer-heard', { peer: id });
    if (told.duty > 0) this.#hasResigned = false;
    const now = this.#options.clock.monotonic();
    this.#peers.set(id, {
      ...told,
      heardAt: now,
      knownAt: known?.knownAt ?? now,
      isSilent: false,
    });
  }
}

function addressesOf(peers: readonly (readonly [string, Peer])[]): readonly Address[] {
  return peers.map(([, { address }]) => address);
}

function isOld(report: NodeReport, known: Peer): boolean {
  if (report.life !== known.life) return report.life < known.life;
  return report.sequence <= known.sequence;
}
