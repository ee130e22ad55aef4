import type { Address } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { DomainDigest } from '../types/domain-digest.ts';
import type { Peer } from '../types/peer.ts';
import type { ReachablePeer } from '../types/reachable-peer.ts';
import type { ReportTiming } from '../types/report-timing.ts';
import { fingerprintOfIds } from './fingerprint-of-ids.ts';
import { reportPace } from './report-pace.ts';
import { reportTiming } from './report-timing.ts';

interface PeerTableOptions {
  readonly node: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  /** Called when a peer was added, removed, or heard after a silence, with the ids of all. */
  readonly onChange: (ids: ReadonlySet<string>) => void;
}

/** Which peers are reachable. */
interface ReachableView {
  /** Until then none of them can have been silent for too long; monotonic, in milliseconds. */
  readonly validUntil: number;
  readonly all: readonly ReachablePeer[];
  readonly ids: readonly string[];
  /** Ids of those in the failure domain of this node. */
  readonly domainIds: readonly string[];
  /** Ids of those that report to this node, and it to them. */
  readonly reportingIds: readonly string[];
  /** Of the ids of the reporting ones and of this node. */
  readonly fingerprint: number;
}

/** A peer as the digest of its failure domain names it. */
interface HeardMember {
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly dutyToken: number;
  /** When it was heard; monotonic, in milliseconds. */
  readonly heardAt: number;
  /** Monotonic time at which the digest is applied, in milliseconds. */
  readonly now: number;
}

/** What became of a peer that has been silent. */
interface SilentPeer {
  readonly id: string;
  readonly silentMs: number;
  readonly isForgotten: boolean;
}

/** Relays and their successor, which get the reports of the nodes of a large failure domain. */
const REPORT_RECEIVERS = 3;
/** Peers in the failure domain above which its nodes report to the relays only. */
const MAX_MESHED_PEERS = 8;
/** Silence after which a peer is removed, in milliseconds: longer than partitions that heal on their own. */
const PEER_EXPIRY_MS = 15_000;
/**
 * Silence after which a peer is presumed dead rather than partitioned, in milliseconds: most
 * partitions of a failure domain are shorter.
 */
const PRESUMED_DEAD_MS = 7_000;
/** Time within which the first report of a live and reachable peer arrives, in milliseconds. */
const FIRST_REPORT_TIMEOUT_MS = 2_500;
/** The other nodes as this one has heard them, and which of them report to whom. */
export class PeerTable {
  readonly #options: PeerTableOptions;
  readonly #peers = new Map<string, Peer>();
  /** When peers were last heard that have not changed since they were recorded. */
  readonly #refreshedAt = new Map<string, number>();
  #timing = reportTiming(undefined);
  #view: ReachableView | undefined;
  /** Pace for the known peers; absent until it is needed after they have changed. */
  #knownPace: { readonly pace: ReturnType<typeof reportPace> } | undefined;

  constructor(options: PeerTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#peers.size;
  }

  get entries(): readonly (readonly [string, Peer])[] {
    return [...this.#peers];
  }

  find(id: string): Peer | undefined {
    return this.#peers.get(id);
  }

  /** Times that follow from the pace of reports. */
  get timing(): ReportTiming {
    return this.#timing;
  }

  /** Applies the pace that follows from the peers that are known now. */
  updateTiming(): void {
    const { peerTimeoutMs } = this.#timing;
    this.#timing = reportTiming(this.#pace());
    if (this.#timing.peerTimeoutMs !== peerTimeoutMs) this.#view = undefined;
  }

  /** Only relays send state to the other failure domains. */
  get usesRelays(): boolean {
    return this.#pace() !== undefined;
  }

  /** The failure domain is large, and none of its nodes is of a build that reads no digests of it. */
  get usesLocalDigests(): boolean {
    const peers = this.inDomain;
    return (
      this.usesRelays &&
      peers.length > MAX_MESHED_PEERS &&
      peers.every(([, { readsLocalDigests }]) => readsLocalDigests)
    );
  }

  /** Adds a peer that has not been heard. */
  add(id: string, address: Address, failureDomain: string): void {
    if (id === this.#options.node || this.#peers.has(id)) return;
    this.#peers.set(id, {
      address,
      failureDomain,
      incarnation: 0,
      sequence: 0,
      lastReceivedAt: undefined,
      lastReportAt: undefined,
      readsLocalDigests: false,
      readsCompressed: false,
      addedAt: this.#options.clock.monotonic(),
      dutyToken: 0,
      isSilent: true,
    });
    this.#forgetViews();
  }

  /** Records that a peer was heard. */
  record(id: string, contact: Omit<Peer, 'addedAt' | 'isSilent'>): void {
    const known = this.#peers.get(id);
    const now = this.#options.clock.monotonic();
    const hasMoved =
      known?.address.host !== contact.address.host ||
      known.address.port !== contact.address.port ||
      known.failureDomain !== contact.failureDomain;
    const isListed = !hasMoved && !known.isSilent && this.#isReachable(id, known, now);
    if (!isListed) this.#forgetViews();
    this.#peers.set(id, { ...contact, addedAt: known?.addedAt ?? now, isSilent: false });
    this.#refreshedAt.delete(id);
  }

  /** When a peer was last heard; monotonic, in milliseconds. */
  lastHeardAt(id: string): number | undefined {
    const known = this.#peers.get(id);
    return known && this.#heardAt(id, known);
  }

  /** Records that peers which have not changed were heard; returns false for one that has to be recorded. */
  refresh(id: string, member: HeardMember): boolean {
    const { host, port, failureDomain, dutyToken, heardAt, now } = member;
    const known = this.#peers.get(id);
    if (!known || known.isSilent || known.dutyToken !== dutyToken) return false;
    const { address } = known;
    if (address.host !== host || address.port !== port) return false;
    if (known.failureDomain !== failureDomain) return false;
    if (!this.#isReachable(id, known, now)) return false;
    this.#refreshedAt.set(id, Math.max(this.#heardAt(id, known) ?? heardAt, heardAt));
    return true;
  }

  delete(id: string): void {
    this.#peers.delete(id);
    this.#refreshedAt.delete(id);
    this.#forgetViews();
  }

  /** Finds peers that have newly fallen silent, and removes those that have been silent for long. */
  expireSilent(): readonly SilentPeer[] {
    const now = this.#options.clock.monotonic();
    const silent: SilentPeer[] = [];
    for (const [id, peer] of this.#peers) {
      const silentMs = Math.round(now - (this.#heardAt(id, peer) ?? peer.addedAt));
      if (silentMs > PEER_EXPIRY_MS) {
        this.delete(id);
        silent.push({ id, silentMs, isForgotten: true });
      } else if (!peer.isSilent && !this.#isReachable(id, peer, now)) {
        this.#peers.set(id, { ...peer, isSilent: true });
        silent.push({ id, silentMs, isForgotten: false });
      }
    }
    return silent;
  }

  /**
   * Whether a peer that is presumed alive has sent nothing for `ms`, so that its latest state is
   * still missing.
   */
  hasSilent(ms: number): boolean {
    const now = this.#options.clock.monotonic();
    return [...this.#peers].some(([id, peer]) => {
      const heardAt = this.#heardAt(id, peer);
      if (heardAt === undefined) return now - peer.addedAt < FIRST_REPORT_TIMEOUT_MS;
      return now - heardAt > ms && now - heardAt < PRESUMED_DEAD_MS;
    });
  }

  /** Peers of the failure domain of this node. */
  get local(): readonly (readonly [string, Peer])[] {
    const { failureDomain } = this.#options;
    return [...this.#peers].filter(([, peer]) => peer.failureDomain === failureDomain);
  }

  /** Peers of the other failure domains. */
  get remote(): readonly (readonly [string, Peer])[] {
    const { failureDomain } = this.#options;
    return [...this.#peers].filter(([, peer]) => peer.failureDomain !== failureDomain);
  }

  /** The first nodes of the failure domain, among them enough that are reachable. */
  get reportReceivers(): readonly (readonly [string, Peer])[] {
    const now = this.#options.clock.monotonic();
    const receivers: (readonly [string, Peer])[] = [];
    let reachable = 0;
    for (const entry of this.local.toSorted(byId)) {
      if (reachable >= REPORT_RECEIVERS) break;
      receivers.push(entry);
      if (this.#isReachable(...entry, now)) reachable += 1;
    }
    return receivers;
  }

  /** The reachable peer with the newest duty term. */
  get dutyHolder(): Peer | undefined {
    const now = this.#options.clock.monotonic();
    let holder: Peer | undefined;
    for (const [id, peer] of this.#peers) {
      if (peer.dutyToken > (holder?.dutyToken ?? 0) && this.#isReachable(id, peer, now))
        holder = peer;
    }
    return holder;
  }

  /** Nodes of the failure domain that report to this one, as digests name them. */
  get members(): DomainDigest['members'] {
    return Object.fromEntries(
      this.#reporting.map(([id, { address, dutyToken }]) => [
        id,
        [address.host, address.port, dutyToken],
      ]),
    );
  }

  /** All nodes of the failure domain that report to this one read compressed messages. */
  get areCompressedRead(): boolean {
    return this.#reporting.every(([, { readsCompressed }]) => readsCompressed);
  }

  /** What this node has last heard of the members. */
  get heard(): NonNullable<DomainDigest['heard']> {
    const now = this.#options.clock.monotonic();
    return Object.fromEntries(
      this.#reporting.map(([id, { incarnation, sequence, lastReportAt = now }]) => [
        id,
        [incarnation, sequence, Math.round(now - lastReportAt)],
      ]),
    );
  }

  /** Reachable peers of the failure domain of this node. */
  get inDomain(): readonly (readonly [string, Peer])[] {
    return this.#entriesOf(this.view.domainIds);
  }

  /** Reachable peers that report to this node, and it to them. */
  get reporting(): readonly (readonly [string, Peer])[] {
    return this.#entriesOf(this.view.reportingIds);
  }

  /** Which peers are reachable now. */
  get view(): ReachableView {
    const { clock, failureDomain, node } = this.#options;
    const now = clock.monotonic();
    if (this.#view && now < this.#view.validUntil) return this.#view;
    const reachable = [...this.#peers].filter(([id, peer]) => this.#isReachable(id, peer, now));
    const ids = reachable.map(([id]) => id);
    const domainIds = reachable
      .filter(([, peer]) => peer.failureDomain === failureDomain)
      .map(([id]) => id);
    const reportingIds = this.usesRelays ? domainIds : ids;
    const heardAt = reachable.map(([id, peer]) => this.#heardAt(id, peer) ?? now);
    this.#view = {
      validUntil: Math.min(...heardAt, now) + this.#timing.peerTimeoutMs,
      all: reachable.map(([id, peer]) => {
        return { id, address: peer.address, failureDomain: peer.failureDomain };
      }),
      ids,
      domainIds,
      reportingIds,
      fingerprint: fingerprintOfIds([node, ...reportingIds]),
    };
    return this.#view;
  }

  /** Peers that are only known through another relay could outlive their nodes by being told back and forth. */
  get #reporting(): readonly (readonly [string, Peer])[] {
    const since = this.#options.clock.monotonic() - this.#timing.peerTimeoutMs;
    return this.inDomain.filter(
      ([, { lastReportAt }]) => lastReportAt !== undefined && lastReportAt > since,
    );
  }

  #entriesOf(ids: readonly string[]): readonly (readonly [string, Peer])[] {
    return ids.flatMap((id) => {
      const peer = this.#peers.get(id);
      return peer ? [[id, peer] as const] : [];
    });
  }

  #pace(): ReturnType<typeof reportPace> {
    this.#knownPace ??= {
      pace: reportPace([...this.#peers.values()], this.#options.failureDomain),
    };
    return this.#knownPace.pace;
  }

  #isReachable(id: string, peer: Peer, now: number): boolean {
    const heardAt = this.#heardAt(id, peer);
    return heardAt !== undefined && now - heardAt < this.#timing.peerTimeoutMs;
  }

  #heardAt(id: string, { lastReceivedAt }: Peer): number | undefined {
    return this.#refreshedAt.get(id) ?? lastReceivedAt;
  }

  /** Called when a peer was added, removed, or heard after a silence. */
  #forgetViews(): void {
    this.#view = undefined;
    this.#knownPace = undefined;
    this.#options.onChange(new Set(this.#peers.keys()));
  }
}

function byId([a]: readonly [string, Peer], [b]: readonly [string, Peer]): number {
  return a < b ? -1 : 1;
}
