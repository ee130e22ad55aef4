import type { Clock } from '@ragwortrudder/core';
import type { BrittleReport } from '../types/brittle-report.ts';
import { RunnerStatements } from './runner-statements.ts';

interface BrittleRunnersOptions {
  readonly clock: Clock;
  /** This node. */
  readonly node: string;
  /** Orders nodes for a runner, in the same way on all nodes. */
  readonly rank: (runner: string, nodes: readonly string[]) => readonly string[];
  /** Called when peers should know of a change at once. */
  readonly onChange: () => void;
}

interface RunnerUse {
  /** Incarnation of the runner. */
  readonly runner: string;
  readonly service: string;
  readonly slots: number;
  /** Requests of this node that are in progress at the runner. */
  readonly own: number;
  /** Requests of all nodes that are known to be in progress there. */
  readonly total: number;
}

interface NodeView {
  /** Nodes that are heard, including this one. */
  readonly reachable: readonly string[];
  readonly knownCount: number;
  /** This node has been up for long enough to know the others, and they it. */
  readonly isSettled: boolean;
}

interface BrittleService {
  readonly most: number;
  /** Monotonic time until which its new incarnations are taken for brittle, in milliseconds. */
  readonly until: number;
}

interface BrittleChange {
  readonly runner: string;
  readonly most: number | undefined;
  readonly before: number | undefined;
}

/**
 * Share of a runner's slots that may wait there beside those that run, from all nodes together, while no
 * rejection has shown otherwise; no more than the rejections that the runner bears.
 */
const WAITING_SHARE = 0.5;
/** Time in which requests that were sent before a rejection have arrived, in milliseconds. */
const HOLD_MS = 50;
const WINDOW_MS = 1_000;
/** Time in which a new incarnation of a brittle service is given its usual room, in milliseconds. */
const RAMP_MS = 2_000;
/** How long new incarnations of a service are taken for brittle after the last statement, in milliseconds. */
const SERVICE_TTL_MS = 10_000;

/**
 * Runners that fall over when they have to reject too many requests in a second. While a runner says so,
 * all nodes together send it no more than it has room for, so that it has nothing to reject: each node has
 * a part of the room. A rejection shows how much room there is, and keeps all nodes away for a moment; at
 * most as many rejections as the runner bears can come before that is known.
 */
export class BrittleRunners {
  readonly #options: BrittleRunnersOptions;
  readonly #statements: RunnerStatements;
  readonly #services = new Map<string, BrittleService>();
  /** First time at which a new incarnation of a brittle service was seen, in milliseconds. */
  readonly #seenAt = new Map<string, number>();
  /** New incarnations that have answered without saying that they are brittle. */
  readonly #sound = new Set<string>();
  readonly #rooms = new Map<string, number>();
  /** Times of the rejections of this node and its peers within the last second. */
  readonly #rejectedAt = new Map<string, readonly number[]>();
  readonly #ownRejections = new Map<string, { readonly count: number; readonly at: number }>();
  readonly #peerCounts = new Map<string, number>();
  /** Rank of this node for each runner among the reachable ones. */
  readonly #ranks = new Map<string, number>();
  #view: NodeView;
  #changes: readonly BrittleChange[] = [];

  constructor(options: BrittleRunnersOptions) {
    this.#options = options;
    this.#view = { reachable: [options.node], knownCount: 1, isSettled: false };
    this.#statements = new RunnerStatements({
      clock: options.clock,
      onChange: (runner, most, before) => {
        this.#changes = [...this.#changes, { runner, most, before }];
        if (most === undefined) this.#forget(runner);
      },
    });
  }

  /** No runner is brittle or was until recently. */
  get isEmpty(): boolean {
    return this.#statements.isEmpty && this.#services.size === 0;
  }

  /** What this node tells its peers; undefined when there is nothing. */
  get report(): BrittleReport | undefined {
    return this.#encode(this.#statements.own);
  }

  /** What this node tells other failure domains of its own; undefined when there is nothing. */
  get domainReport(): BrittleReport | undefined {
    return this.#encode(this.#statements.ofDomain);
  }

  /** Returns the changes of what runners state since the last call. */
  takeChanges(): readonly BrittleChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  setNodes(view: NodeView): void {
    const before = this.#view.reachable;
    const isSame =
      before.length === view.reachable.length &&
      before.every((node, index) => node === view.reachable[index]);
    if (!isSame) this.#ranks.clear();
    this.#view = view;
  }

  /** Records how many rejections in a second a runner says that it bears; undefined when it says nothing. */
  record(runner: string, most: number | undefined): void {
    const before = this.#statements.valueOf(runner);
    this.#statements.record(runner, most);
    if (most === undefined && this.#seenAt.has(runner)) this.#sound.add(runner);
    if (before !== most) this.#options.onChange();
  }

  /** Records that a runner rejected a request for want of room, with as many requests as it had then. */
  recordRejection(runner: string, occupied: number | undefined): void {
    if (this.#statements.valueOf(runner) === undefined) return;
    const at = this.#options.clock.monotonic();
    const count = (this.#ownRejections.get(runner)?.count ?? 0) + 1;
    this.#ownRejections.set(runner, { count, at });
    this.#addRejections(runner, 1, at);
    if (occupied !== undefined) this.#learnRoom(runner, occupied);
    this.#options.onChange();
  }

  /** Applies what a peer knows; `incarnation` identifies the current life of the peer. */
  setPeerReport(incarnation: string, report: BrittleReport | undefined): void {
    if (!report) return;
    this.#statements.setOfPeer(report.stated);
    const now = this.#options.clock.monotonic();
    for (const [runner, [count, ageMs]] of Object.entries(report.rejections)) {
      const key = `${incarnation} ${runner}`;
      const added = count - (this.#peerCounts.get(key) ?? 0);
      this.#peerCounts.set(key, count);
      if (added > 0 && ageMs < WINDOW_MS) this.#addRejections(runner, added, now - ageMs);
    }
    for (const [runner, room] of Object.entries(report.rooms)) this.#learnRoom(runner, room);
  }

  /** Applies what the nodes of another failure domain know. */
  setDomainReport(report: BrittleReport | undefined): void {
    if (!report) return;
    this.#statements.setOfDomain(report.stated);
    for (const [runner, room] of Object.entries(report.rooms)) this.#learnRoom(runner, room);
  }

  /** Updates what is known of the runners that exist, by service. */
  setListed(runnersByService: ReadonlyMap<string, readonly string[]>): void {
    const now = this.#options.clock.monotonic();
    const listed = new Set<string>();
    for (const [service, runners] of runnersByService) {
      const stated = runners
        .map((runner) => this.#statements.valueOf(runner))
        .filter((most) => most !== undefined);
      for (const runner of runners) listed.add(runner);
      if (stated.length === 0) continue;
      this.#services.set(service, { most: Math.min(...stated), until: now + SERVICE_TTL_MS });
    }
    for (const [service, { until }] of this.#services) {
      if (until < now) this.#services.delete(service);
    }
    this.#statements.retain(listed);
    const maps = [this.#seenAt, this.#rooms, this.#rejectedAt, this.#ownRejections, this.#ranks];
    for (const map of maps) {
      for (const runner of map.keys()) if (!listed.has(runner)) map.delete(runner);
    }
    for (const runner of this.#sound) if (!listed.has(runner)) this.#sound.delete(runner);
    if (this.isEmpty) this.#peerCounts.clear();
  }

  /** Whether this node may send a request to a runner now. */
  mayTake(use: RunnerUse): boolean {
    const { runner, own, total } = use;
    const most = this.#mostOf(use);
    if (most === undefined) return true;
    const now = this.#options.clock.monotonic();
    const recent = this.#recentRejections(runner, now);
    const newest = recent.at(-1);
    if (newest !== undefined && now - newest < HOLD_MS) return false;
    if (recent.length >= Math.max(1, most)) return false;
    if (own < this.#partOf(runner, this.#roomOf(use, most))) return true;
    // A node that does not know the others yet has no part, and joins in with little.
    return !this.#view.isSettled && own === 0 && total === 0 && newest === undefined;
  }

  /** Rejections in a second that a runner bears; undefined when it is not brittle. */
  #mostOf({ runner, service }: RunnerUse): number | undefined {
    const stated = this.#statements.valueOf(runner);
    if (stated !== undefined) return stated;
    const brittle = this.#services.get(service);
    if (!brittle || this.#sound.has(runner) || this.#statements.isKnown(runner)) return undefined;
    if (!this.#seenAt.has(runner)) this.#seenAt.set(runner, this.#options.clock.monotonic());
    return brittle.most;
  }

  /** Requests that all nodes together may have in progress at a runner. */
  #roomOf({ runner, slots }: RunnerUse, most: number): number {
    const waiting = Math.min(Math.max(1, Math.floor(slots * WAITING_SHARE)), most);
    const room = Math.min(slots + waiting, this.#rooms.get(runner) ?? Infinity);
    const seenAt = this.#seenAt.get(runner);
    if (seenAt === undefined) return Math.max(1, room);
    const ramp = Math.min(1, (this.#options.clock.monotonic() - seenAt) / RAMP_MS);
    return Math.max(1, Math.floor(room * ramp));
  }

  /** This node's part of a runner's room; the remainder goes to the first nodes by rank. */
  #partOf(runner: string, room: number): number {
    const { reachable, knownCount, isSettled } = this.#view;
    if (!isSettled) return 0;
    const count = Math.max(knownCount, reachable.length);
    const rank = this.#ranks.get(runner) ?? this.#rankFor(runner);
    return Math.floor(room / count) + (rank < room % count ? 1 : 0);
  }

  #rankFor(runner: string): number {
    const { rank, node } = this.#options;
    const place = rank(runner, this.#view.reachable).indexOf(node);
    this.#ranks.set(runner, place);
    return place;
  }

  #learnRoom(runner: string, occupied: number): void {
    this.#rooms.set(runner, Math.min(occupied, this.#rooms.get(runner) ?? Infinity));
  }

  #recentRejections(runner: string, now: number): readonly number[] {
    return (this.#rejectedAt.get(runner) ?? []).filter((at) => now - at < WINDOW_MS);
  }

  #addRejections(runner: string, count: number, at: number): void {
    const recent = this.#recentRejections(runner, this.#options.clock.monotonic());
    const added = Array.from({ length: count }, () => at);
    this.#rejectedAt.set(
      runner,
      [...recent, ...added].toSorted((a, b) => a - b),
    );
  }

  #forget(runner: string): void {
    this.#rooms.delete(runner);
    this.#rejectedAt.delete(runner);
    this.#seenAt.delete(runner);
  }

  #encode(stated: BrittleReport['stated']): BrittleReport | undefined {
    if (stated.length === 0) return undefined;
    const now = this.#options.clock.monotonic();
    const rejections = [...this.#ownRejections].map(
      ([runner, { count, at }]) => [runner, [count, Math.round(now - at)]] as const,
    );
    return {
      stated,
      rejections: Object.fromEntries(rejections) as BrittleReport['rejections'],
      rooms: Object.fromEntries(this.#rooms),
    };
  }
}
