import type { Clock, Random } from '@ragwortrudder/core';
import type { Gossip } from '../types/gossip.ts';
import type { Member } from '../types/member.ts';
import type { MembershipEvent } from '../types/membership-event.ts';
import type { MembershipSettings } from '../types/membership-settings.ts';
import type { OriginVersion } from '../types/origin-version.ts';
import type { SoftStateEntry } from '../types/soft-state-entry.ts';
import type { SyncRequest } from '../types/sync-request.ts';
import { BucketHashes } from './bucket-hashes.ts';
import { GossipQueue } from './gossip-queue.ts';
import { MemberRegistry } from './member-registry.ts';
import { shuffle } from './shuffle.ts';
import type { SoftState } from './soft-state.ts';

/** Number of times that a membership update is sent, per decimal order of magnitude of the cluster size. */
const MEMBER_SENDS_PER_DECADE = 4;
/** Share of a message's byte budget that membership updates may use. */
const MEMBER_BUDGET_SHARE = 0.6;
const REPORT_SENDS = 2;
/** Share of the byte budget of intra-domain messages that reports of the local domain may use. */
const LOCAL_REPORT_BUDGET_SHARE = 0.7;
/** Messages that a node sends within its failure domain per round: one probe and one reply. */
const LOCAL_MESSAGES_PER_ROUND = 2;
const VERSIONS_PER_SYNC = 16;

interface GossipExchangeOptions {
  readonly self: Pick<Member, 'nodeId' | 'failureDomain'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: MembershipSettings;
  readonly reports: SoftState<unknown>;
}

function sizeOf(value: unknown): number {
  return JSON.stringify(value).length;
}

function takeWithin<Item>(items: readonly Item[], limitBytes: number): readonly Item[] {
  let used = 0;
  return items.filter((item) => {
    used += sizeOf(item);
    return used <= limitBytes;
  });
}

/** Holds the members and reports known to one node and selects what each message carries. */
export class GossipExchange {
  readonly registry: MemberRegistry;
  readonly #random: Random;
  readonly #settings: MembershipSettings;
  readonly #reports: SoftState<unknown>;
  readonly #self: Pick<Member, 'nodeId' | 'failureDomain'>;
  readonly #clock: Clock;
  readonly #memberQueue: GossipQueue;
  readonly #urgentQueue: GossipQueue;
  /** Reports of the local failure domain, for messages within it. */
  readonly #localQueue: GossipQueue;
  /** Reports of the local failure domain, for messages to remote domains. */
  readonly #crossDomainQueue: GossipQueue;
  /** Reports of remote failure domains, for messages within the local one. */
  readonly #remoteQueue: GossipQueue;
  #versionCursor = 0;
  #ownReportQueuedAt = Number.NEGATIVE_INFINITY;
  #isOwnReportPending = false;

  constructor(options: GossipExchangeOptions) {
    this.registry = new MemberRegistry(options.clock);
    this.#random = options.random;
    this.#settings = options.settings;
    this.#reports = options.reports;
    this.#memberQueue = new GossipQueue(options.random, 'least-sent');
    this.#self = options.self;
    this.#clock = options.clock;
    this.#urgentQueue = new GossipQueue(options.random, 'least-sent');
    this.#localQueue = new GossipQueue(options.random, 'newest');
    this.#crossDomainQueue = new GossipQueue(options.random, 'newest');
    this.#remoteQueue = new GossipQueue(options.random, 'newest');
    for (const entry of this.#reports.entries) this.#queueReport(entry);
    this.#reports.subscribe((entry) => {
      this.#queueReport(entry);
    });
  }

  /**
   * Applies a membership update and queues it for gossip if it changed the registry. Updates received in a
   * synchronization are not queued.
   */
  apply(member: Member, isSynced = false): MembershipEvent | undefined {
    const event = this.registry.apply(member);
    if (event && !isSynced) this.#memberQueue.add(member.nodeId);
    return event;
  }

  /** Merges reports of known members; other reports are dropped and arrive again once their member is known. */
  mergeReports(entries: readonly SoftStateEntry[]): void {
    this.#reports.merge(entries.filter(({ nodeId }) => this.registry.get(nodeId) !== undefined));
  }

  /** Selects the gossip for one message to a node in `failureDomain`; it always includes `required`. */
  gossip(required: readonly Member[], failureDomain: string | undefined): Gossip {
    const maxSends = MEMBER_SENDS_PER_DECADE * Math.ceil(Math.log10(this.registry.all.length + 1));
    const budget = this.#settings.gossipBytes;
    const members = this.#memberQueue.take(budget * MEMBER_BUDGET_SHARE, maxSends, (nodeId) =>
      sizeOf(this.registry.get(nodeId) ?? ''),
    );
    const queuedMembers = this.#membersOf(members);
    const used = queuedMembers.length === 0 ? 0 : sizeOf(queuedMembers);
    const reports = this.#takeReports(Math.max(0, budget - used), maxSends, failureDomain);
    const requiredOnly = required.filter(({ nodeId }) => !members.includes(nodeId));
    return { members: [...requiredOnly, ...queuedMembers], reports };
  }

  /** Queues this node's own report if one is pending and the minimum interval has passed. */
  queueOwnReport(): void {
    if (
      !this.#isOwnReportPending ||
      this.#clock.monotonic() - this.#ownReportQueuedAt < this.#ownReportPeriodMs()
    )
      return;
    this.#isOwnReportPending = false;
    this.#ownReportQueuedAt = this.#clock.monotonic();
    this.#localQueue.add(this.#self.nodeId);
    this.#crossDomainQueue.add(this.#self.nodeId);
  }

  /** Builds a synchronization request that summarizes this node's state. */
  syncRequest(everything: boolean): SyncRequest {
    return { everything, buckets: this.#hashes().values, versions: this.#versionPage() };
  }

  /** Builds the reply to a synchronization request: the differences within the size limit, or the full state. */
  answerSync(request: SyncRequest): Gossip {
    if (request.everything) {
      return { members: this.registry.present, reports: this.#reports.entries };
    }
    return {
      members: this.differingMembers(request.buckets),
      reports: this.#reportsNewerThan(request.versions),
    };
  }

  /** Returns members from buckets that differ from the peer's, within the size limit. */
  differingMembers(buckets: readonly string[]): readonly Member[] {
    const own = this.#hashes();
    if (!own.differs(buckets)) return [];
    const differing = this.registry.all.filter(({ nodeId }) => own.differsFor(nodeId, buckets));
    return takeWithin(shuffle(differing, this.#random), this.#settings.syncBytes);
  }

  /** Bucket hashes of the members that are present. */
  get buckets(): readonly string[] {
    return this.#hashes().values;
  }

  /** Removes members that have been gone for longer than the retention period, and their reports. */
  prune(): void {
    for (const nodeId of this.registry.prune(this.#settings.goneRetentionMs)) {
      this.#memberQueue.delete(nodeId);
      for (const queue of [
        this.#urgentQueue,
        this.#localQueue,
        this.#crossDomainQueue,
        this.#remoteQueue,
      ]) {
        queue.delete(nodeId);
      }
      this.#reports.drop(nodeId);
    }
  }

  #queueReport({ nodeId, urgent }: SoftStateEntry): void {
    if (urgent) this.#urgentQueue.add(nodeId);
    if (nodeId === this.#self.nodeId) {
      this.#isOwnReportPending = true;
      this.queueOwnReport();
      return;
    }
    if (this.registry.get(nodeId)?.failureDomain !== this.#self.failureDomain) {
      this.#remoteQueue.add(nodeId);
      return;
    }
    this.#localQueue.add(nodeId);
    this.#crossDomainQueue.add(nodeId);
  }

  /** Minimum interval between versions of this node's own report, so that the reports of the whole local domain fit the budget. */
  #ownReportPeriodMs(): number {
    const localMembers = this.registry.present.filter(
      (member) => member.failureDomain === this.#self.failureDomain,
    );
    const bytes = localMembers.length * this.#reports.sizeOf(this.#self.nodeId) * REPORT_SENDS;
    const bytesPerRound =
      this.#settings.gossipBytes * LOCAL_REPORT_BUDGET_SHARE * LOCAL_MESSAGES_PER_ROUND;
    return (bytes / bytesPerRound) * this.#settings.probePeriodMs;
  }

  #takeReports(
    budget: number,
    maxUrgentSends: number,
    failureDomain: string | undefined,
  ): readonly SoftStateEntry[] {
    const isLocal = failureDomain === this.#self.failureDomain;
    const queues = isLocal ? [this.#localQueue, this.#remoteQueue] : [this.#crossDomainQueue];
    const selected = new Set(this.#takeFrom(this.#urgentQueue, budget, maxUrgentSends));
    for (const queue of queues) {
      const remaining = budget - this.#bytesOf([...selected]);
      if (remaining <= 0) break;
      for (const nodeId of this.#takeFrom(queue, remaining, REPORT_SENDS)) selected.add(nodeId);
    }
    return this.#reportsOf([...selected]);
  }

  #takeFrom(queue: GossipQueue, budget: number, maxSends: number): readonly string[] {
    return queue.take(budget, maxSends, (nodeId) => this.#reports.sizeOf(nodeId));
  }

  #bytesOf(nodeIds: readonly string[]): number {
    return nodeIds.reduce((sum, nodeId) => sum + this.#reports.sizeOf(nodeId), 0);
  }

  #hashes(): BucketHashes {
    return new BucketHashes(this.registry.present);
  }

  #membersOf(nodeIds: readonly string[]): readonly Member[] {
    return nodeIds.flatMap((nodeId) => this.registry.get(nodeId) ?? []);
  }

  #reportsOf(nodeIds: readonly string[]): readonly SoftStateEntry[] {
    return nodeIds.flatMap((nodeId) => this.#reports.get(nodeId) ?? []);
  }

  #reportsNewerThan(versions: readonly OriginVersion[]): readonly SoftStateEntry[] {
    const newer = versions.flatMap(({ nodeId, incarnation, version }) => {
      const entry = this.#reports.get(nodeId);
      if (!entry || entry.incarnation < incarnation) return [];
      const isNewer = entry.incarnation > incarnation || entry.version > version;
      return isNewer ? [entry] : [];
    });
    return takeWithin(shuffle(newer, this.#random), this.#settings.syncBytes);
  }

  #versionPage(): readonly OriginVersion[] {
    const members = this.registry.present;
    const start = this.#versionCursor >= members.length ? 0 : this.#versionCursor;
    this.#versionCursor = start + VERSIONS_PER_SYNC;
    return members.slice(start, this.#versionCursor).map(({ nodeId, incarnation }) => {
      const entry = this.#reports.get(nodeId);
      return {
        nodeId,
        incarnation,
        version: entry?.incarnation === incarnation ? entry.version : -1,
      };
    });
  }
}
