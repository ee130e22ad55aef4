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
import { MemberTable } from './member-table.ts';
import { shuffle } from './shuffle.ts';
import type { SoftState } from './soft-state.ts';

/** Times that a change of members is sent, for each factor of ten in the number of members. */
const MEMBER_REPEATS = 4;
/** Part of a message's budget that changes of members may use. */
const MEMBER_PART = 0.6;
const REPORT_REPEATS = 2;
/** Part of the budget of messages within the failure domain that the reports of this domain may use. */
const NEAR_REPORT_PART = 0.7;
/** Messages that a node sends within its failure domain in each round: a probe and a reply. */
const NEAR_MESSAGES_PER_ROUND = 2;
const VERSIONS_PER_SYNC = 16;

interface ExchangeOptions {
  readonly self: Pick<Member, 'nodeId' | 'failureDomain'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: MembershipSettings;
  readonly reports: SoftState<unknown>;
}

function sizeOf(value: unknown): number {
  return JSON.stringify(value).length;
}

function within<Item>(items: readonly Item[], limitBytes: number): readonly Item[] {
  let used = 0;
  return items.filter((item) => {
    used += sizeOf(item);
    return used <= limitBytes;
  });
}

/** Members and reports of one node, and what of them goes into which message. */
export class Exchange {
  readonly table: MemberTable;
  readonly #random: Random;
  readonly #settings: MembershipSettings;
  readonly #reports: SoftState<unknown>;
  readonly #self: Pick<Member, 'nodeId' | 'failureDomain'>;
  readonly #clock: Clock;
  readonly #memberQueue: GossipQueue;
  readonly #urgentQueue: GossipQueue;
  /** Reports of the own failure domain, for messages within it. */
  readonly #nearQueue: GossipQueue;
  /** Reports of the own failure domain, for messages to other domains. */
  readonly #linkQueue: GossipQueue;
  /** Reports of other failure domains, for messages within the own one. */
  readonly #farQueue: GossipQueue;
  #cursor = 0;
  #ownQueuedAt = Number.NEGATIVE_INFINITY;
  #ownWaits = false;

  constructor(options: ExchangeOptions) {
    this.table = new MemberTable(options.clock);
    this.#random = options.random;
    this.#settings = options.settings;
    this.#reports = options.reports;
    this.#memberQueue = new GossipQueue(options.random, 'least-sent');
    this.#self = options.self;
    this.#clock = options.clock;
    this.#urgentQueue = new GossipQueue(options.random, 'least-sent');
    this.#nearQueue = new GossipQueue(options.random, 'newest');
    this.#linkQueue = new GossipQueue(options.random, 'newest');
    this.#farQueue = new GossipQueue(options.random, 'newest');
    for (const entry of this.#reports.entries) this.#queueReport(entry);
    this.#reports.subscribe((entry) => {
      this.#queueReport(entry);
    });
  }

  /** Takes a claim in and queues it for the others when it is news, unless it came with a synchronization. */
  apply(member: Member, isSynced = false): MembershipEvent | undefined {
    const event = this.table.apply(member);
    if (event && !isSynced) this.#memberQueue.add(member.nodeId);
    return event;
  }

  /** Joins reports of members that are known; others come again after their members. */
  mergeReports(entries: readonly SoftStateEntry[]): void {
    this.#reports.merge(entries.filter(({ nodeId }) => this.table.get(nodeId) !== undefined));
  }

  /** Changes that go with one message, to the own failure domain or to another; `must` is always among them. */
  gossip(must: readonly Member[], failureDomain: string | undefined): Gossip {
    const repeats = MEMBER_REPEATS * Math.ceil(Math.log10(this.table.all.length + 1));
    const budget = this.#settings.gossipBytes;
    const members = this.#memberQueue.take(budget * MEMBER_PART, repeats, (nodeId) =>
      sizeOf(this.table.get(nodeId) ?? ''),
    );
    const carried = this.#members(members);
    const used = carried.length === 0 ? 0 : sizeOf(carried);
    const reports = this.#takeReports(Math.max(0, budget - used), repeats, failureDomain);
    const forced = must.filter(({ nodeId }) => !members.includes(nodeId));
    return { members: [...forced, ...carried], reports };
  }

  /** Queues the own report when it waited long enough since the last time. */
  flush(): void {
    if (!this.#ownWaits || this.#clock.monotonic() - this.#ownQueuedAt < this.#ownPeriodMs())
      return;
    this.#ownWaits = false;
    this.#ownQueuedAt = this.#clock.monotonic();
    this.#nearQueue.add(this.#self.nodeId);
    this.#linkQueue.add(this.#self.nodeId);
  }

  /** Request that tells a peer what this node holds. */
  syncRequest(everything: boolean): SyncRequest {
    return { everything, buckets: this.#hashes().values, versions: this.#versionPage() };
  }

  /** Answer to a peer's request: what differs, within the size limit, or everything. */
  answer(request: SyncRequest): Gossip {
    if (request.everything) {
      return { members: this.table.present, reports: this.#reports.entries };
    }
    return {
      members: this.differences(request.buckets),
      reports: this.#newerThan(request.versions),
    };
  }

  /** Members whose bucket differs from the peer's, within the size limit. */
  differences(buckets: readonly string[]): readonly Member[] {
    const own = this.#hashes();
    if (!own.differs(buckets)) return [];
    const differing = this.table.all.filter(({ nodeId }) => own.differsFor(nodeId, buckets));
    return within(shuffle(differing, this.#random), this.#settings.syncBytes);
  }

  /** Hashes of the members present. */
  get buckets(): readonly string[] {
    return this.#hashes().values;
  }

  /** Forgets members that are gone for long, and their reports. */
  prune(): void {
    for (const nodeId of this.table.prune(this.#settings.goneRetentionMs)) {
      this.#memberQueue.delete(nodeId);
      for (const queue of [this.#urgentQueue, this.#nearQueue, this.#linkQueue, this.#farQueue]) {
        queue.delete(nodeId);
      }
      this.#reports.drop(nodeId);
    }
  }

  #queueReport({ nodeId, urgent }: SoftStateEntry): void {
    if (urgent) this.#urgentQueue.add(nodeId);
    if (nodeId === this.#self.nodeId) {
      this.#ownWaits = true;
      this.flush();
      return;
    }
    if (this.table.get(nodeId)?.failureDomain !== this.#self.failureDomain) {
      this.#farQueue.add(nodeId);
      return;
    }
    this.#nearQueue.add(nodeId);
    this.#linkQueue.add(nodeId);
  }

  /** Shortest time between two versions of the own report, so that those of the whole domain fit the budget. */
  #ownPeriodMs(): number {
    const domain = this.table.present.filter(
      (member) => member.failureDomain === this.#self.failureDomain,
    );
    const bytes = domain.length * this.#reports.sizeOf(this.#self.nodeId) * REPORT_REPEATS;
    const bytesPerRound = this.#settings.gossipBytes * NEAR_REPORT_PART * NEAR_MESSAGES_PER_ROUND;
    return (bytes / bytesPerRound) * this.#settings.probePeriodMs;
  }

  #takeReports(
    budget: number,
    urgentRepeats: number,
    failureDomain: string | undefined,
  ): readonly SoftStateEntry[] {
    const isNear = failureDomain === this.#self.failureDomain;
    const queues = isNear ? [this.#nearQueue, this.#farQueue] : [this.#linkQueue];
    const taken = new Set(this.#take(this.#urgentQueue, budget, urgentRepeats));
    for (const queue of queues) {
      const left = budget - this.#bytesOf([...taken]);
      if (left <= 0) break;
      for (const nodeId of this.#take(queue, left, REPORT_REPEATS)) taken.add(nodeId);
    }
    return this.#entries([...taken]);
  }

  #take(queue: GossipQueue, budget: number, repeats: number): readonly string[] {
    return queue.take(budget, repeats, (nodeId) => this.#reports.sizeOf(nodeId));
  }

  #bytesOf(nodeIds: readonly string[]): number {
    return nodeIds.reduce((sum, nodeId) => sum + this.#reports.sizeOf(nodeId), 0);
  }

  #hashes(): BucketHashes {
    return new BucketHashes(this.table.present);
  }

  #members(nodeIds: readonly string[]): readonly Member[] {
    return nodeIds.flatMap((nodeId) => this.table.get(nodeId) ?? []);
  }

  #entries(nodeIds: readonly string[]): readonly SoftStateEntry[] {
    return nodeIds.flatMap((nodeId) => this.#reports.get(nodeId) ?? []);
  }

  #newerThan(versions: readonly OriginVersion[]): readonly SoftStateEntry[] {
    const newer = versions.flatMap(({ nodeId, incarnation, version }) => {
      const entry = this.#reports.get(nodeId);
      if (!entry || entry.incarnation < incarnation) return [];
      const isNewer = entry.incarnation > incarnation || entry.version > version;
      return isNewer ? [entry] : [];
    });
    return within(shuffle(newer, this.#random), this.#settings.syncBytes);
  }

  #versionPage(): readonly OriginVersion[] {
    const members = this.table.present;
    const start = this.#cursor >= members.length ? 0 : this.#cursor;
    this.#cursor = start + VERSIONS_PER_SYNC;
    return members.slice(start, this.#cursor).map(({ nodeId, incarnation }) => {
      const entry = this.#reports.get(nodeId);
      return {
        nodeId,
        incarnation,
        version: entry?.incarnation === incarnation ? entry.version : -1,
      };
    });
  }
}
