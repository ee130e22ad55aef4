import type { Address } from '@ragwortrudder/catalog';
import type { Clock, Closeable } from '@ragwortrudder/core';
import type { ConfigurationPart } from '../types/configuration-part.ts';
import type { ConfigurationRequest } from '../types/configuration-request.ts';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { Introduction } from '../types/introduction.ts';
import type { NodeReport } from '../types/node-report.ts';
import type { PromptAnnouncement } from '../types/prompt-announcement.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import type { ReportTiming } from '../types/report-timing.ts';
import type { TopicFeed } from '../types/topic-feed.ts';
import { fingerprintOfIds } from '../utils/fingerprint-of-ids.ts';
import { PeerIntroductions } from '../utils/peer-introductions.ts';
import { reportPace } from '../utils/report-pace.ts';
import { reportTiming } from '../utils/report-timing.ts';
import type { DecisionLog } from './decision-log.ts';
import { PeerMessages } from './peer-messages.ts';
import { PeerSocket } from './peer-socket.ts';

interface PeersOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Fencing token of the duty term that this node holds; 0 when it holds none. */
  readonly dutyToken: () => number;
  /** Creates this node's report. */
  readonly createReport: (extent: ReportExtent) => NodeReport;
  /** Creates the digest of this node's failure domain. */
  readonly createDigest: (members: DomainDigest['members']) => DomainDigest;
  /** Receives a peer's report; `isFirst` when it is the first from this incarnation or after a silence. */
  readonly onReport: (report: NodeReport, isFirst: boolean) => void;
  /** Receives the digest of another failure domain, or of the own one where this node is no relay. */
  readonly onDigest: (digest: DomainDigest) => void;
  /** Receives an announcement that a peer has sent a long prompt. */
  readonly onPromptAnnouncement: (announcement: PromptAnnouncement) => void;
  /** Receives a request for this node's configuration. */
  readonly onConfigurationRequest: (request: ConfigurationRequest) => void;
  /** Receives a part of a peer's configuration. */
  readonly onConfigurationPart: (part: ConfigurationPart) => void;
  /** Receives the result of a topic read of a peer in the same failure domain. */
  readonly onFeed: (feed: TopicFeed) => void;
}

interface Peer {
  readonly address: Address;
  readonly failureDomain: string | undefined;
  readonly incarnation: number;
  readonly sequence: number;
  /**
   * When this node last received state of the peer, directly or through a relay; undefined before
   * the first time.
   */
  readonly lastReceivedAt: number | undefined;
  /** When its own last report arrived; undefined before the first one. */
  readonly lastReportAt: number | undefined;
  /** It reads digests of its own failure domain. */
  readonly readsLocalDigests: boolean;
  readonly addedAt: number;
  readonly dutyToken: number;
  readonly isSilent: boolean;
}

interface ReachablePeer {
  readonly id: string;
  readonly address: Address;
  readonly failureDomain: string | undefined;
}

/** The peers that were reachable at a time. */
interface ReachableView {
  readonly at: number;
  readonly all: readonly ReachablePeer[];
  readonly ids: readonly string[];
  readonly inDomain: readonly (readonly [string, Peer])[];
  /** Those that report to this node, and it to them. */
  readonly reporting: readonly (readonly [string, Peer])[];
  /** Of the ids of these and of this node. */
  readonly fingerprint: number;
}

const METHODS = PeerMessages.methods;
/** Nodes of each failure domain that read topics on its behalf and send its digests to the other domains. */
const RELAYS_PER_DOMAIN = 2;
/** Relays and their successor, which get the reports of the nodes of a large failure domain. */
const REPORT_RECEIVERS = RELAYS_PER_DOMAIN + 1;
/** Peers in the failure domain above which its nodes report to the relays only. */
const MAX_MESHED_PEERS = 8;
/**
 * Periods without a digest of the own domain after which a node reports to the whole domain again: before
 * the nodes that are only heard through the relays count as unreachable.
 */
const MISSED_DIGEST_PERIODS = 1.75;
/** Periods for which a node still reports to its whole domain after it had something that relays do not pass on. */
const WHOLE_DOMAIN_PERIODS = 3;
/**
 * Interval between two reports of usage and demand to the duty holder in a large deployment, in
 * milliseconds.
 */
const TOTALS_PERIOD_MS = 700;
/** Silence after which a peer is removed, in milliseconds: longer than partitions that heal on their own. */
const PEER_EXPIRY_MS = 15_000;
/**
 * Silence after which a peer is presumed dead rather than partitioned, in milliseconds: most
 * partitions of a failure domain are shorter.
 */
const PRESUMED_DEAD_MS = 7_000;
/** Time within which the first report of a live and reachable peer arrives, in milliseconds. */
const FIRST_REPORT_TIMEOUT_MS = 2_500;
/**
 * Time for which the list of reachable peers is kept, in milliseconds: far below the silence after which
 * a peer is no longer one of them.
 */
const VIEW_TTL_MS = 100;

/**
 * Tracks the other nodes and exchanges periodic reports with them. In a small deployment every node
 * sends full reports to every other one. In a large deployment a node reports only to its own failure
 * domain, relays send a digest of their domain to the others, and only the duty holder receives usage
 * and demand. In a large failure domain a node reports to the relays only, which send their digest to
 * the nodes of the domain as well.
 */
export class Peers implements Closeable {
  readonly #options: PeersOptions;
  readonly #socket: PeerSocket;
  readonly #peers = new Map<string, Peer>();
  readonly #digestSequences = new Map<string, number>();
  readonly #introductions = new PeerIntroductions();
  #resignedDutyToken: number | undefined;
  /** The peers were told that this node leaves; it sends nothing after that. */
  #isLeaving = false;
  #timing = reportTiming(undefined);
  #localDigestAt = -Infinity;
  /** Until then reports go to the whole failure domain; monotonic, in milliseconds. */
  #wholeDomainUntil = -Infinity;
  #totalsSentAt = -Infinity;
  #view: ReachableView | undefined;
  /** Pace for the known peers; absent until it is needed after they have changed. */
  #knownPace: { readonly pace: ReturnType<typeof reportPace> } | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    const messages = new PeerMessages({
      ...options,
      onReport: (report) => {
        this.#applyReport(report);
      },
      onDigest: (digest) => {
        this.#applyDigest(digest);
      },
      onIntroduction: ({ nodes }) => {
        for (const [id, [host, port, failureDomain]] of Object.entries(nodes)) {
          this.addPeer(id, { host, port }, failureDomain);
        }
      },
    });
    this.#socket = new PeerSocket({
      address: options.address,
      log: options.log,
      onMessage: (method, params) => {
        messages.receive(method, params);
      },
    });
  }

  /** Times that follow from the pace of reports. */
  get timing(): ReportTiming {
    return this.#timing;
  }

  /** Number of known nodes, including this one. */
  get knownCount(): number {
    return this.#peers.size + 1;
  }

  /** Number of reachable nodes, including this one. */
  get reachableCount(): number {
    return this.#reachableView().ids.length + 1;
  }

  /**
   * Whether a peer that is presumed alive has sent nothing for `ms`, so that its latest state is
   * still missing.
   */
  hasSilentPeer(ms: number): boolean {
    const now = this.#options.clock.monotonic();
    return [...this.#peers.values()].some(({ lastReceivedAt, addedAt }) => {
      if (lastReceivedAt === undefined) return now - addedAt < FIRST_REPORT_TIMEOUT_MS;
      return now - lastReceivedAt > ms && now - lastReceivedAt < PRESUMED_DEAD_MS;
    });
  }

  /** Ids of the reachable peers. */
  reachableIds(): readonly string[] {
    return this.#reachableView().ids;
  }

  /** The reachable peers. */
  reachable(): readonly ReachablePeer[] {
    return this.#reachableView().all;
  }

  /** Fencing token of the term that the last heard duty holder has reported to have given up. */
  get resignedDutyToken(): number | undefined {
    return this.#resignedDutyToken;
  }

  /** Newest fencing token that a reachable peer holds; 0 when none holds one. */
  newestDutyToken(): number {
    return this.#dutyHolder()?.dutyToken ?? 0;
  }

  /** This node reads topics on behalf of its failure domain and sends its digests to the other domains. */
  get isRelay(): boolean {
    const { node } = this.#options;
    return this.#reachableInDomain().filter(([id]) => id < node).length < RELAYS_PER_DOMAIN;
  }

  /** Sends the result of a topic read to the other nodes of the failure domain; never rejects. */
  publishFeed(feed: TopicFeed): Promise<void> {
    return this.#attempt('feed', () =>
      this.#socket.send(METHODS.feed, feed, addressesOf(this.#reachableInDomain())),
    );
  }

  /** Asks a peer for its configuration. */
  async requestConfiguration(request: ConfigurationRequest, peer: Address): Promise<void> {
    await this.#socket.send(METHODS.configurationRequest, request, [peer]);
  }

  /** Sends a part of this node's configuration to a peer. */
  async sendConfiguration(part: ConfigurationPart, peer: Address): Promise<void> {
    await this.#socket.send(METHODS.configuration, part, [peer]);
  }

  /** Announces a long prompt that this node has sent, ahead of the next report; never rejects. */
  announcePrompt(runner: string, tokens: number): Promise<void> {
    return this.#attempt('prompt', () => this.#announcePrompt(runner, tokens));
  }

  async #announcePrompt(runner: string, tokens: number): Promise<void> {
    const now = this.#options.clock.monotonic();
    const reachable = this.#usesRelays
      ? this.#reachableInDomain()
      : [...this.#peers].filter(([, peer]) => this.#isReachable(peer, now));
    const announcement: PromptAnnouncement = {
      node: this.#options.node,
      runner,
      tokens: Math.round(tokens),
    };
    await this.#socket.send(METHODS.prompt, announcement, addressesOf(reachable));
  }

  async start(): Promise<void> {
    await this.#socket.start();
    this.#schedule();
  }

  /** Adds a peer from the topic of nodes. */
  addPeer(id: string, address: Address, failureDomain: string): void {
    if (id === this.#options.node || this.#peers.has(id)) return;
    const addedAt = this.#options.clock.monotonic();
    this.#peers.set(id, {
      address,
      failureDomain,
      incarnation: 0,
      sequence: 0,
      lastReceivedAt: undefined,
      lastReportAt: undefined,
      readsLocalDigests: false,
      addedAt,
      dutyToken: 0,
      isSilent: true,
    });
    this.#forgetViews();
  }

  /**
   * Sends a full report immediately; settles once it has been sent. In a large deployment only a node
   * that leaves sends it to the other failure domains, too, whose relays tell of a new one.
   */
  async publishReport(isLeaving = false): Promise<void> {
    if (this.#isLeaving) return;
    this.#isLeaving = isLeaving;
    const report = this.#createReport({ isLeaving, includesTotals: true });
    const receivers = this.#usesRelays && !isLeaving ? this.#localPeers() : [...this.#peers];
    await this.#socket.send(METHODS.report, report, addressesOf(receivers));
  }

  /**
   * Sends a change at once where every node reports to every other one; elsewhere it waits for the next
   * report. Never rejects.
   */
  publishChange(): Promise<void> {
    return this.#attempt('report', async () => {
      if (!this.#usesRelays) await this.publishReport();
    });
  }

  close(): Promise<void> {
    clearTimeout(this.#timer);
    return this.#socket.close();
  }

  get #usesRelays(): boolean {
    return this.#pace() !== undefined;
  }

  /** Runs what nobody waits for: a failure is logged and ends nothing else. */
  async #attempt(task: string, run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      this.#options.log.onTaskFailure(task)(error);
    }
  }

  async #publish(): Promise<void> {
    if (this.#isLeaving) return;
    if (!this.#usesRelays) {
      await this.publishReport();
      return;
    }
    const report = this.#createReport({ isLeaving: false, includesTotals: false });
    const usesLocalDigests = this.#usesLocalDigests;
    const isForRelays = usesLocalDigests && !this.#concernsWholeDomain(report);
    const receivers =
      isForRelays && this.#hearsRelays ? this.#reportReceivers() : this.#localPeers();
    await this.#socket.send(METHODS.report, report, addressesOf(receivers));
    await this.#sendTotals();
    if (!this.isRelay) return;
    const { failureDomain } = this.#options;
    const remotePeers = [...this.#peers].filter(([, peer]) => peer.failureDomain !== failureDomain);
    const digest = this.#options.createDigest(this.#members());
    await this.#socket.send(METHODS.digest, digest, addressesOf(remotePeers));
    if (!usesLocalDigests) return;
    const localDigest: DomainDigest = { ...digest, heard: this.#heard() };
    await this.#socket.send(METHODS.digest, localDigest, addressesOf(this.#localPeers()));
  }

  #createReport(extent: ReportExtent): NodeReport {
    const { fingerprint } = this.#reachableView();
    return { ...this.#options.createReport(extent), fingerprint };
  }

  #localPeers(): readonly (readonly [string, Peer])[] {
    const { failureDomain } = this.#options;
    return [...this.#peers].filter(([, peer]) => peer.failureDomain === failureDomain);
  }

  /** The failure domain is large, and none of its nodes is of a build that reads no digests of it. */
  get #usesLocalDigests(): boolean {
    const peers = this.#reachableInDomain();
    return (
      this.#usesRelays &&
      peers.length > MAX_MESHED_PEERS &&
      peers.every(([, { readsLocalDigests }]) => readsLocalDigests)
    );
  }

  /** This node is a relay, or has just got a digest of its failure domain. */
  get #hearsRelays(): boolean {
    const sinceMs = this.#options.clock.monotonic() - this.#localDigestAt;
    return this.isRelay || sinceMs < MISSED_DIGEST_PERIODS * this.#timing.periodMs;
  }

  /** What digests do not pass on goes to each node of the domain, and for a while that it has ended. */
  #concernsWholeDomain({ outOfReach, reached, prompts }: NodeReport): boolean {
    const now = this.#options.clock.monotonic();
    if (outOfReach ?? reached ?? prompts) {
      this.#wholeDomainUntil = now + WHOLE_DOMAIN_PERIODS * this.#timing.periodMs;
    }
    return now < this.#wholeDomainUntil;
  }

  /** The first nodes of the failure domain, among them enough that are reachable. */
  #reportReceivers(): readonly (readonly [string, Peer])[] {
    const now = this.#options.clock.monotonic();
    const receivers: (readonly [string, Peer])[] = [];
    let reachable = 0;
    for (const entry of this.#localPeers().toSorted(byId)) {
      if (reachable >= REPORT_RECEIVERS) break;
      receivers.push(entry);
      if (this.#isReachable(entry[1], now)) reachable += 1;
    }
    return receivers;
  }

  async #sendTotals(): Promise<void> {
    const now = this.#options.clock.monotonic();
    const holder = this.#dutyHolder();
    if (!holder || now - this.#totalsSentAt < TOTALS_PERIOD_MS) return;
    this.#totalsSentAt = now;
    const report = this.#createReport({ isLeaving: false, includesTotals: true });
    await this.#socket.send(METHODS.report, report, [holder.address]);
  }

  #dutyHolder(): Peer | undefined {
    const now = this.#options.clock.monotonic();
    let holder: Peer | undefined;
    for (const peer of this.#peers.values()) {
      if (peer.dutyToken > (holder?.dutyToken ?? 0) && this.#isReachable(peer, now)) holder = peer;
    }
    return holder;
  }

  /** Nodes of the failure domain that report to this one, and this one. */
  #members(): DomainDigest['members'] {
    const { node, address, dutyToken } = this.#options;
    const reporting = this.#reporting().map(([id, peer]): [string, [string, number, number]] => [
      id,
      [peer.address.host, peer.address.port, peer.dutyToken],
    ]);
    return { ...Object.fromEntries(reporting), [node]: [address.host, address.port, dutyToken()] };
  }

  /** What this node has last heard of the members. */
  #heard(): NonNullable<DomainDigest['heard']> {
    const now = this.#options.clock.monotonic();
    return Object.fromEntries(
      this.#reporting().map(([id, { incarnation, sequence, lastReportAt = now }]) => [
        id,
        [incarnation, sequence, Math.round(now - lastReportAt)],
      ]),
    );
  }

  /** Peers that are only known through another relay could outlive their nodes by being told back and forth. */
  #reporting(): readonly (readonly [string, Peer])[] {
    const since = this.#options.clock.monotonic() - this.#timing.peerTimeoutMs;
    return this.#reachableInDomain().filter(
      ([, { lastReportAt }]) => lastReportAt !== undefined && lastReportAt > since,
    );
  }

  #reachableInDomain(): readonly (readonly [string, Peer])[] {
    return this.#reachableView().inDomain;
  }

  #reachableView(): ReachableView {
    const { clock, failureDomain, node } = this.#options;
    const at = clock.monotonic();
    if (this.#view && at - this.#view.at < VIEW_TTL_MS) return this.#view;
    const reachable = [...this.#peers].filter(([, peer]) => this.#isReachable(peer, at));
    const inDomain = reachable.filter(([, peer]) => peer.failureDomain === failureDomain);
    const reporting = this.#usesRelays ? inDomain : reachable;
    this.#view = {
      at,
      all: reachable.map(([id, peer]) => {
        return { id, address: peer.address, failureDomain: peer.failureDomain };
      }),
      ids: reachable.map(([id]) => id),
      inDomain,
      reporting,
      fingerprint: fingerprintOfIds([node, ...reporting.map(([id]) => id)]),
    };
    return this.#view;
  }

  /** Called when a peer was added, removed, or heard after a silence. */
  #forgetViews(): void {
    this.#view = undefined;
    this.#knownPace = undefined;
    this.#introductions.retain(new Set(this.#peers.keys()));
  }

  #pace(): ReturnType<typeof reportPace> {
    this.#knownPace ??= {
      pace: reportPace([...this.#peers.values()], this.#options.failureDomain),
    };
    return this.#knownPace.pace;
  }

  #schedule(): void {
    this.#timing = reportTiming(this.#pace());
    this.#timer = setTimeout(() => {
      this.#expireSilentPeers();
      void this.#attempt('report', () => this.#publish());
      this.#schedule();
    }, this.#timing.periodMs);
  }

  #isReachable({ lastReceivedAt }: Peer, now: number): boolean {
    return lastReceivedAt !== undefined && now - lastReceivedAt < this.#timing.peerTimeoutMs;
  }

  #expireSilentPeers(): void {
    const now = this.#options.clock.monotonic();
    for (const [id, peer] of this.#peers) {
      const silentMs = now - (peer.lastReceivedAt ?? peer.addedAt);
      if (silentMs > PEER_EXPIRY_MS) {
        this.#peers.delete(id);
        this.#forgetViews();
        this.#options.log.notable('peer-forgotten', { peer: id, silentMs: Math.round(silentMs) });
      } else if (!peer.isSilent && !this.#isReachable(peer, now)) {
        this.#peers.set(id, { ...peer, isSilent: true });
        this.#options.log.notable('peer-lost', { peer: id, silentMs: Math.round(silentMs) });
      }
    }
  }

  #applyReport(report: NodeReport): void {
    if (report.node === this.#options.node) return;
    const now = this.#options.clock.monotonic();
    const known = this.#peers.get(report.node);
    if (known && isStale(report, known)) return;
    const isSameIncarnation = known?.incarnation === report.life;
    const isFirst = !isSameIncarnation || known.isSilent;
    if (isSameIncarnation && known.dutyToken > 0 && report.duty === 0) {
      this.#resignedDutyToken = known.dutyToken;
    }
    this.#recordContact(report.node, {
      address: { host: report.host, port: report.port },
      failureDomain: report.failureDomain,
      incarnation: report.life,
      sequence: report.sequence,
      dutyToken: report.duty,
      lastReceivedAt: now,
      lastReportAt: now,
      readsLocalDigests: report.readsLocalDigests === true,
    });
    if (!known || known.isSilent) this.#logHeard([report.node], report.failureDomain);
    this.#options.onReport(report, isFirst);
    if (!report.isLeaving) {
      this.#introduceTo(report);
      return;
    }
    this.#peers.delete(report.node);
    this.#forgetViews();
    this.#options.log.notable('peer-left', { peer: report.node });
  }

  /** Tells a peer that hears other nodes which ones this node hears. */
  #introduceTo({ node: peer, host, port, fingerprint }: NodeReport): void {
    if (fingerprint === undefined || this.#usesLocalDigests) return;
    const { clock, log } = this.#options;
    const now = clock.monotonic();
    const fingerprints = { peer: fingerprint, own: this.#reachableView().fingerprint };
    if (!this.#introductions.isDue(peer, fingerprints, now)) return;
    const { reporting } = this.#reachableView();
    const nodes: Introduction['nodes'] = Object.fromEntries(
      reporting.map(([id, { address, failureDomain = '' }]) => [
        id,
        [address.host, address.port, failureDomain],
      ]),
    );
    log.notable('peers-introduced', { peer, nodes: Object.keys(nodes).join(',') });
    void this.#attempt('introduction', () =>
      this.#socket.send(METHODS.introduction, { nodes }, [{ host, port }]),
    );
  }

  #applyDigest(digest: DomainDigest): void {
    const { relay, failureDomain, life, sequence, heard } = digest;
    const isLocal = failureDomain === this.#options.failureDomain;
    if (relay === this.#options.node || (isLocal && !heard)) return;
    const key = `${relay} ${life}`;
    if (sequence <= (this.#digestSequences.get(key) ?? 0)) return;
    this.#digestSequences.set(key, sequence);
    if (isLocal) this.#localDigestAt = this.#options.clock.monotonic();
    this.#recordMembers(digest);
    // A relay has the reports themselves.
    if (!isLocal || !this.isRelay) this.#options.onDigest(digest);
  }

  #recordMembers({ failureDomain, members, heard }: DomainDigest): void {
    const now = this.#options.clock.monotonic();
    const newlyHeard: string[] = [];
    for (const [id, [host, port, dutyToken]] of Object.entries(members)) {
      if (id === this.#options.node) continue;
      const known = this.#peers.get(id);
      const [, , ageMs = 0] = heard?.[id] ?? [];
      if (!known || known.isSilent) newlyHeard.push(id);
      this.#recordContact(id, {
        address: { host, port },
        failureDomain,
        incarnation: known?.incarnation ?? 0,
        sequence: known?.sequence ?? 0,
        dutyToken,
        lastReceivedAt: Math.max(known?.lastReceivedAt ?? -Infinity, now - ageMs),
        lastReportAt: known?.lastReportAt,
        // Digests of a domain are sent where all of its nodes read them.
        readsLocalDigests: heard !== undefined || known?.readsLocalDigests === true,
      });
    }
    if (newlyHeard.length > 0) this.#logHeard(newlyHeard, failureDomain);
  }

  #logHeard(peers: readonly string[], failureDomain: string): void {
    this.#options.log.notable('peer-heard', { peer: peers.join(','), failureDomain });
  }

  #recordContact(id: string, contact: Omit<Peer, 'addedAt' | 'isSilent'>): void {
    const known = this.#peers.get(id);
    if (contact.dutyToken > 0) this.#resignedDutyToken = undefined;
    const now = this.#options.clock.monotonic();
    const hasMoved =
      known?.address.host !== contact.address.host || known.address.port !== contact.address.port;
    if (hasMoved || known.isSilent || !this.#isReachable(known, now)) this.#forgetViews();
    this.#peers.set(id, { ...contact, addedAt: known?.addedAt ?? now, isSilent: false });
  }
}

function byId([a]: readonly [string, Peer], [b]: readonly [string, Peer]): number {
  return a < b ? -1 : 1;
}

function addressesOf(peers: readonly (readonly [string, Peer])[]): readonly Address[] {
  return peers.map(([, { address }]) => address);
}

function isStale(report: NodeReport, known: Peer): boolean {
  if (report.life !== known.incarnation) return report.life < known.incarnation;
  return report.sequence <= known.sequence;
}
