import type { Address } from '@ragwortrudder/catalog';
import type { Clock, Closeable, ProcessorMeter } from '@ragwortrudder/core';
import type { ConfigurationPart } from '../types/configuration-part.ts';
import type { ConfigurationRequest } from '../types/configuration-request.ts';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { Introduction } from '../types/introduction.ts';
import type { NodeReport } from '../types/node-report.ts';
import type { Peer } from '../types/peer.ts';
import type { PromptAnnouncement } from '../types/prompt-announcement.ts';
import type { QuotaLevels } from '../types/quota-levels.ts';
import type { ReachablePeer } from '../types/reachable-peer.ts';
import type { ReportExtent } from '../types/report-extent.ts';
import type { ReportTiming } from '../types/report-timing.ts';
import type { TopicFeed } from '../types/topic-feed.ts';
import { encodeForPeers } from '../utils/encode-for-peers.ts';
import { encodeMessage } from '../utils/encode-message.ts';
import { fitDigest } from '../utils/fit-digest.ts';
import { PeerIntroductions } from '../utils/peer-introductions.ts';
import { PeerTable } from '../utils/peer-table.ts';
import type { DecisionLog } from './decision-log.ts';
import { PacedDatagrams } from './paced-datagrams.ts';
import { PeerMessages } from './peer-messages.ts';
import { PeerSocket } from './peer-socket.ts';

interface PeersOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly processor: Pick<ProcessorMeter, 'measure'>;
  /**
   * Capacity of this node's network link, in Mbit/s.
   * @default 1000
   */
  readonly linkMbps?: number | undefined;
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
  /** Receives what a peer believes to be left of the teams' limits. */
  readonly onQuotaLevels: (levels: QuotaLevels) => void;
  /** Receives the result of a topic read of a peer in the same failure domain. */
  readonly onFeed: (feed: TopicFeed) => void;
}

const METHODS = PeerMessages.methods;
/** Nodes of each failure domain that read topics on its behalf and send its digests to the other domains. */
const RELAYS_PER_DOMAIN = 2;
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
const DEFAULT_LINK_MBPS = 1_000;
const BYTES_PER_MBIT = 125_000;
/** Fraction of the link for messages to many peers; the rest is left to requests. */
const LINK_SHARE = 0.5;

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
  readonly #paced: PacedDatagrams;
  readonly #table: PeerTable;
  readonly #digestSequences = new Map<string, number>();
  readonly #introductions = new PeerIntroductions();
  #resignedDutyToken: number | undefined;
  /** The peers were told that this node leaves; it sends nothing after that. */
  #isLeaving = false;
  #localDigestAt = -Infinity;
  /** Until then reports go to the whole failure domain; monotonic, in milliseconds. */
  #wholeDomainUntil = -Infinity;
  #totalsSentAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#table = new PeerTable({
      ...options,
      onChange: (ids) => {
        this.#introductions.retain(ids);
      },
    });
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
      processor: options.processor,
      onMessage: (method, params) => {
        messages.receive(method, params);
      },
    });
    const { clock, linkMbps = DEFAULT_LINK_MBPS } = options;
    this.#paced = new PacedDatagrams({
      clock,
      bytesPerSecond: linkMbps * BYTES_PER_MBIT * LINK_SHARE,
      send: (bytes, address) => void this.#socket.send(bytes, address),
    });
  }

  /** Times that follow from the pace of reports. */
  get timing(): ReportTiming {
    return this.#table.timing;
  }

  /** Number of known nodes, including this one. */
  get knownCount(): number {
    return this.#table.size + 1;
  }

  /** Number of reachable nodes, including this one. */
  get reachableCount(): number {
    return this.#table.view.ids.length + 1;
  }

  /** A peer that is presumed alive has sent nothing for `ms`: its latest state is missing. */
  hasSilentPeer(ms: number): boolean {
    return this.#table.hasSilent(ms);
  }

  /** Ids of the known peers. */
  knownIds(): readonly string[] {
    return this.#table.entries.map(([id]) => id);
  }

  /** Ids of the reachable peers. */
  reachableIds(): readonly string[] {
    return this.#table.view.ids;
  }

  /** The reachable peers. */
  reachable(): readonly ReachablePeer[] {
    return this.#table.view.all;
  }

  /** Fencing token of the term that the last heard duty holder has reported to have given up. */
  get resignedDutyToken(): number | undefined {
    return this.#resignedDutyToken;
  }

  /** Newest fencing token that a reachable peer holds; 0 when none holds one. */
  newestDutyToken(): number {
    return this.#table.dutyHolder?.dutyToken ?? 0;
  }

  /** This node reads topics on behalf of its failure domain and sends its digests to the other domains. */
  get isRelay(): boolean {
    const { node } = this.#options;
    return this.#table.view.domainIds.filter((id) => id < node).length < RELAYS_PER_DOMAIN;
  }

  /** Sends the result of a topic read to the other nodes of the failure domain; never rejects. */
  publishFeed(feed: TopicFeed): Promise<void> {
    return this.#attempt('feed', () => this.#send(METHODS.feed, feed, this.#table.inDomain));
  }

  /** Asks a peer for its configuration. */
  async requestConfiguration(request: ConfigurationRequest, peer: Address): Promise<void> {
    await this.#sendTo(METHODS.configurationRequest, request, [peer]);
  }

  /** Tells a peer what is left of the teams' limits. */
  sendQuotaLevels(levels: QuotaLevels, peer: Address): void {
    void this.#attempt('quota-levels', () => this.#sendTo(METHODS.quotaLevels, levels, [peer]));
  }

  /** Sends a part of this node's configuration to a peer, in turn. */
  sendConfiguration(part: ConfigurationPart, peer: Address): Promise<void> {
    const key = `${METHODS.configuration} ${peer.host}:${peer.port} ${part.version}/${part.part}`;
    // Its text is compressed already.
    const bytes = encodeMessage({
      method: METHODS.configuration,
      params: part,
      mayCompress: false,
    });
    this.#paced.add({ key, bytes, addresses: [peer] });
    return Promise.resolve();
  }

  /** Announces a long prompt that this node has sent, ahead of the next report; never rejects. */
  announcePrompt(runner: string, tokens: number): Promise<void> {
    return this.#attempt('prompt', () => this.#announcePrompt(runner, tokens));
  }

  async #announcePrompt(runner: string, tokens: number): Promise<void> {
    const { usesRelays, view, inDomain } = this.#table;
    const receivers = usesRelays ? addressesOf(inDomain) : view.all.map((peer) => peer.address);
    const announcement: PromptAnnouncement = {
      node: this.#options.node,
      runner,
      tokens: Math.round(tokens),
    };
    await this.#sendTo(METHODS.prompt, announcement, receivers);
  }

  async start(): Promise<void> {
    await this.#socket.start();
    this.#schedule();
  }

  /** Adds a peer from the topic of nodes. */
  addPeer(id: string, address: Address, failureDomain: string): void {
    this.#table.add(id, address, failureDomain);
  }

  /**
   * Sends a full report immediately; settles once it has been sent. In a large deployment only a node
   * that leaves sends it to the other failure domains, too, whose relays tell of a new one.
   */
  async publishReport(isLeaving = false): Promise<void> {
    if (this.#isLeaving) return;
    this.#isLeaving = isLeaving;
    // A digest that names this node must not follow the report that it leaves.
    if (isLeaving) await this.#paced.close();
    const report = this.#createReport({ isLeaving, includesTotals: true });
    const receivers =
      this.#table.usesRelays && !isLeaving ? this.#table.local : this.#table.entries;
    await this.#send(METHODS.report, report, receivers);
  }

  /** Sends a change at once, or in a large deployment with the next report. Never rejects. */
  publishChange(): Promise<void> {
    return this.#attempt('report', async () => {
      if (!this.#table.usesRelays) await this.publishReport();
    });
  }

  async close(): Promise<void> {
    clearTimeout(this.#timer);
    await this.#paced.close();
    await this.#socket.close();
  }

  /** Sends a message to peers at once; settles once it has been sent or has failed. */
  async #send(
    method: string,
    params: object,
    peers: readonly (readonly [string, Peer])[],
  ): Promise<void> {
    for (const { bytes, addresses } of encodeForPeers(peers, { method, params })) {
      await Promise.all(addresses.map((address) => this.#socket.send(bytes, address)));
    }
  }

  /** Sends a short message, for whoever reads it. */
  async #sendTo(method: string, params: object, addresses: readonly Address[]): Promise<void> {
    const bytes = encodeMessage({ method, params, mayCompress: false });
    await Promise.all(addresses.map((address) => this.#socket.send(bytes, address)));
  }

  /** Sends a digest to peers in turn; one that is still being sent is not overtaken by the next one. */
  #sendDigest(digest: DomainDigest, peers: readonly (readonly [string, Peer])[]): void {
    const { digest: method } = METHODS;
    const scope = digest.heard ? 'local' : 'remote';
    encodeForPeers(peers, { method, params: digest }).forEach(({ bytes, addresses }, index) => {
      this.#paced.add({ key: `${method} ${scope} ${index}`, bytes, addresses, isUrgent: true });
    });
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
    if (!this.#table.usesRelays) {
      await this.publishReport();
      return;
    }
    const report = this.#createReport({ isLeaving: false, includesTotals: false });
    const usesLocalDigests = this.#table.usesLocalDigests;
    const isForRelays = usesLocalDigests && !this.#concernsWholeDomain(report);
    const receivers =
      isForRelays && this.#hearsRelays ? this.#table.reportReceivers : this.#table.local;
    await this.#send(METHODS.report, report, receivers);
    await this.#sendTotals();
    if (!this.isRelay) return;
    const digest = this.#createDigest();
    if (usesLocalDigests) {
      this.#sendDigest({ ...digest, heard: this.#table.heard }, this.#table.local);
    }
    this.#sendDigest(digest, this.#table.remote);
  }

  /** Creates a digest that can be sent to all of its receivers within a period. */
  #createDigest(): DomainDigest {
    const { node, address, dutyToken, createDigest } = this.#options;
    const digest = {
      ...createDigest({
        ...this.#table.members,
        [node]: [address.host, address.port, dutyToken()],
      }),
      readsCompressed: this.#table.areCompressedRead,
    };
    const maxBytes = this.#paced.bytesIn(this.#table.timing.periodMs) / this.#table.size;
    return fitDigest(digest, (params) => {
      const message = { method: METHODS.digest, params, mayCompress: true };
      return encodeMessage(message).length <= maxBytes;
    });
  }

  #createReport(extent: ReportExtent): NodeReport {
    const { fingerprint } = this.#table.view;
    return { ...this.#options.createReport(extent), fingerprint };
  }

  /** This node is a relay, or has just got a digest of its failure domain. */
  get #hearsRelays(): boolean {
    const sinceMs = this.#options.clock.monotonic() - this.#localDigestAt;
    return this.isRelay || sinceMs < MISSED_DIGEST_PERIODS * this.#table.timing.periodMs;
  }

  /** What digests do not pass on goes to each node of the domain, and for a while that it has ended. */
  #concernsWholeDomain({ outOfReach, reached, prompts }: NodeReport): boolean {
    const now = this.#options.clock.monotonic();
    if (outOfReach ?? reached ?? prompts) {
      this.#wholeDomainUntil = now + WHOLE_DOMAIN_PERIODS * this.#table.timing.periodMs;
    }
    return now < this.#wholeDomainUntil;
  }

  async #sendTotals(): Promise<void> {
    const now = this.#options.clock.monotonic();
    const holder = this.#table.dutyHolder;
    if (!holder || now - this.#totalsSentAt < TOTALS_PERIOD_MS) return;
    this.#totalsSentAt = now;
    const report = this.#createReport({ isLeaving: false, includesTotals: true });
    await this.#sendTo(METHODS.report, report, [holder.address]);
  }

  #schedule(): void {
    this.#table.updateTiming();
    this.#timer = setTimeout(() => {
      this.#options.processor.measure('peerReports', () => {
        this.#expireSilentPeers();
        void this.#attempt('report', () => this.#publish());
      });
      this.#schedule();
    }, this.#table.timing.periodMs);
  }

  #expireSilentPeers(): void {
    for (const { id, silentMs, isForgotten } of this.#table.expireSilent()) {
      const event = isForgotten ? 'peer-forgotten' : 'peer-lost';
      this.#options.log.notable(event, { peer: id, silentMs });
    }
  }

  #applyReport(report: NodeReport): void {
    if (report.node === this.#options.node) return;
    const now = this.#options.clock.monotonic();
    const known = this.#table.find(report.node);
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
      readsCompressed: report.readsCompressed === true,
    });
    if (!known || known.isSilent) this.#logHeard([report.node], report.failureDomain);
    this.#options.onReport(report, isFirst);
    if (!report.isLeaving) {
      this.#introduceTo(report);
      return;
    }
    this.#table.delete(report.node);
    this.#options.log.notable('peer-left', { peer: report.node });
  }

  /** Tells a peer that hears other nodes which ones this node hears. */
  #introduceTo({ node: peer, host, port, fingerprint }: NodeReport): void {
    if (fingerprint === undefined || this.#table.usesLocalDigests) return;
    const { clock, log } = this.#options;
    const now = clock.monotonic();
    const fingerprints = { peer: fingerprint, own: this.#table.view.fingerprint };
    if (!this.#introductions.isDue(peer, fingerprints, now)) return;
    const { reporting } = this.#table;
    const nodes: Introduction['nodes'] = Object.fromEntries(
      reporting.map(([id, { address, failureDomain = '' }]) => [
        id,
        [address.host, address.port, failureDomain],
      ]),
    );
    log.notable('peers-introduced', { peer, nodes: Object.keys(nodes).join(',') });
    void this.#attempt('introduction', () =>
      this.#sendTo(METHODS.introduction, { nodes }, [{ host, port }]),
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

  #recordMembers({ failureDomain, members, heard, readsCompressed }: DomainDigest): void {
    const now = this.#options.clock.monotonic();
    const newlyHeard: string[] = [];
    for (const [id, [host, port, dutyToken]] of Object.entries(members)) {
      if (id === this.#options.node) continue;
      const known = this.#table.find(id);
      const [, , ageMs = 0] = heard?.[id] ?? [];
      const heardAt = now - ageMs;
      // Digests of a domain are sent where all of its nodes read them.
      const readsLocalDigests = heard !== undefined || known?.readsLocalDigests === true;
      const areFlagsKnown =
        known?.readsLocalDigests === readsLocalDigests &&
        known.readsCompressed === (readsCompressed ?? known.readsCompressed);
      const member = { host, port, failureDomain, dutyToken, heardAt, now };
      // A holder of the duties is recorded each time, since it ends the resignation of the one before.
      if (areFlagsKnown && dutyToken === 0 && this.#table.refresh(id, member)) continue;
      if (!known || known.isSilent) newlyHeard.push(id);
      this.#recordContact(id, {
        address: { host, port },
        failureDomain,
        incarnation: known?.incarnation ?? 0,
        sequence: known?.sequence ?? 0,
        dutyToken,
        lastReceivedAt: Math.max(this.#table.lastHeardAt(id) ?? -Infinity, heardAt),
        lastReportAt: known?.lastReportAt,
        readsLocalDigests,
        readsCompressed: readsCompressed ?? known?.readsCompressed ?? false,
      });
    }
    if (newlyHeard.length > 0) this.#logHeard(newlyHeard, failureDomain);
  }

  #logHeard(peers: readonly string[], failureDomain: string): void {
    this.#options.log.notable('peer-heard', { peer: peers.join(','), failureDomain });
  }

  #recordContact(id: string, contact: Omit<Peer, 'addedAt' | 'isSilent'>): void {
    if (contact.dutyToken > 0) this.#resignedDutyToken = undefined;
    this.#table.record(id, contact);
  }
}

function addressesOf(peers: readonly (readonly [string, Peer])[]): readonly Address[] {
  return peers.map(([, { address }]) => address);
}

function isStale(report: NodeReport, known: Peer): boolean {
  if (report.life !== known.incarnation) return report.life < known.incarnation;
  return report.sequence <= known.sequence;
}
