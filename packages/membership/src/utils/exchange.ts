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

const MEMBER_REPEATS = 3;
const REPORT_REPEATS = 2;
const VERSIONS_PER_SYNC = 16;

interface ExchangeOptions {
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
  readonly #memberQueue: GossipQueue;
  readonly #reportQueue: GossipQueue;
  #cursor = 0;

  constructor(options: ExchangeOptions) {
    this.table = new MemberTable(options.clock);
    this.#random = options.random;
    this.#settings = options.settings;
    this.#reports = options.reports;
    this.#memberQueue = new GossipQueue(options.random);
    this.#reportQueue = new GossipQueue(options.random);
    for (const { nodeId } of this.#reports.entries) this.#reportQueue.add(nodeId);
    this.#reports.subscribe(({ nodeId }) => {
      this.#reportQueue.add(nodeId);
    });
  }

  /** Takes a claim in and queues it for the others when it is news. */
  apply(member: Member): MembershipEvent | undefined {
    const event = this.table.apply(member);
    if (event) this.#memberQueue.add(member.nodeId);
    return event;
  }

  /** Joins reports of members that are known; others come again after their members. */
  mergeReports(entries: readonly SoftStateEntry[]): void {
    this.#reports.merge(entries.filter(({ nodeId }) => this.table.get(nodeId) !== undefined));
  }

  /** Changes that go with one message; `must` is always among them. */
  gossip(must: readonly Member[]): Gossip {
    const scale = Math.ceil(Math.log2(this.table.all.length + 1));
    const budget = this.#settings.gossipBytes;
    const members = this.#memberQueue.take(budget, MEMBER_REPEATS * scale, (nodeId) =>
      sizeOf(this.table.get(nodeId) ?? ''),
    );
    const carried = this.#members(members);
    const used = carried.length === 0 ? 0 : sizeOf(carried);
    const reports = this.#reportQueue.take(
      Math.max(0, budget - used),
      REPORT_REPEATS * scale,
      (nodeId) => this.#reports.sizeOf(nodeId),
    );
    const forced = must.filter(({ nodeId }) => !members.includes(nodeId));
    return { members: [...forced, ...carried], reports: this.#entries(reports) };
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
      this.#reportQueue.delete(nodeId);
      this.#reports.drop(nodeId);
    }
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
