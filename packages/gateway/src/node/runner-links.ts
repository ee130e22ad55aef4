import type { RunnerDirectory, RunnerEntry } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import { LinkMonitor } from '@ragwortrudder/routing';
import type { LinkFailure } from '@ragwortrudder/routing';
import { CONNECT_TIMEOUT_MS } from '../utils/connect-timeout-ms.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import type { DecisionLog } from './decision-log.ts';
import { probeConnection } from './probe-connection.ts';

interface RunnerLinksOptions {
  readonly directory: RunnerDirectory;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Monotonic time at which bytes last arrived from a runner. */
  readonly lastProgressAt: (entry: RunnerEntry) => number;
  /** Nothing new is sent to a runner, so that it tells nothing of this node's links. */
  readonly isEvacuated: (entry: RunnerEntry) => boolean;
  /** This node has requests in progress at a runner. */
  readonly isInUse: (entry: RunnerEntry) => boolean;
  /** Closes the idle connections to a runner. */
  readonly closeIdle: (entry: RunnerEntry) => void;
  /** Called when a link was lost or is back. */
  readonly onChange: () => void;
}

interface OpenQuery {
  readonly isRepeatable: boolean;
  /** The request may be sent over a connection that has been cut without a sign. */
  readonly mayBeCut: boolean;
}

/** Silence of a runner with requests in progress after which its link is probed, in milliseconds. */
const SILENCE_MS = 400;
/** Time for which peers are told that a runner was reached, in milliseconds. */
const RECENT_MS = 1_000;
/** Number of links that are probed because others were lost. */
const MAX_SUSPECTED = 32;

/** Links of this node to the runners: finds out which are lost, and when they are back. */
export class RunnerLinks {
  readonly #options: RunnerLinksOptions;
  readonly #monitor: LinkMonitor;
  /** When the first request that has had no bytes since was sent to a runner. */
  readonly #waitingSince = new Map<string, number>();
  readonly #probing = new Set<string>();
  /** When a probe last reached a runner that has not been found out of reach since. */
  readonly #reachedAt = new Map<string, number>();
  /** When a probe was last made for a peer. */
  readonly #askedAt = new Map<string, number>();
  #isClosed = false;

  constructor(options: RunnerLinksOptions) {
    this.#options = options;
    this.#monitor = new LinkMonitor(options.clock);
  }

  /** Listed runners that this node cannot open connections to. */
  get lost(): readonly RunnerEntry[] {
    if (this.#monitor.isEmpty) return [];
    return this.#options.directory.all().filter((entry) => this.isLost(entry));
  }

  /** Runners whose links are lost and that peers reach, and since when. */
  ownFaults(): readonly { readonly runner: string; readonly since: number }[] {
    return this.lost
      .filter((entry) => this.isOwnFault(entry))
      .map((entry) => {
        const runner = incarnationOf(entry);
        return { runner, since: this.#monitor.downSince(runner) ?? Infinity };
      });
  }

  /** What this node sees of a runner is the fault of its link, or of all its links, and not of the runner. */
  isOwnFault(entry: RunnerEntry): boolean {
    if (!this.isLost(entry)) return false;
    return this.#monitor.isOwnFault(incarnationOf(entry), this.#usedRunners().map(incarnationOf));
  }

  /** Records that a peer has just reached a runner that this node may not reach. */
  recordReachedByPeer(runner: string): void {
    this.#monitor.recordReachedByPeer(runner);
  }

  /** Finds out for a peer that has lost its links to runners whether this node reaches them. */
  probeFor(runners: readonly string[]): void {
    const now = this.#options.clock.monotonic();
    for (const runner of runners) {
      if (this.#monitor.suspect(runner, true)) this.#askedAt.set(runner, now);
    }
    this.#probe();
  }

  /**
   * Runners that peers cannot reach and that this node has reached since they told. An earlier probe says
   * nothing: the runner may have ended between the two.
   */
  reachedFor(lostByPeers: ReadonlySet<string>): readonly RunnerEntry[] {
    if (this.#reachedAt.size === 0) return [];
    const since = this.#options.clock.monotonic() - RECENT_MS;
    return this.#options.directory.all().filter((entry) => {
      const key = incarnationOf(entry);
      if (!lostByPeers.has(key)) return false;
      return (this.#reachedAt.get(key) ?? -Infinity) > Math.max(since, this.#askedAt.get(key) ?? 0);
    });
  }

  /** Some link is lost. */
  get hasLost(): boolean {
    return !this.#monitor.isEmpty;
  }

  /** Called for each runner and request, so that it costs nothing while no link is lost. */
  isLost(entry: RunnerEntry): boolean {
    return !this.#monitor.isEmpty && this.#monitor.isDown(incarnationOf(entry));
  }

  /** The link is lost and nothing can be expected of open connections either. */
  isSilent(entry: RunnerEntry): boolean {
    return this.#monitor.isSilent(incarnationOf(entry));
  }

  /**
   * Whether open connections to a runner may be used although new ones are refused. Until bytes have
   * arrived on them, only requests that may be repeated are sent there; after one of them was cut, only
   * those for which `mayBeCut` is set.
   */
  mayUseOpen(entry: RunnerEntry, { isRepeatable, mayBeCut }: OpenQuery): boolean {
    const key = incarnationOf(entry);
    const since = this.#monitor.downSince(key);
    if (since === undefined || this.isSilent(entry)) return false;
    const progressAt = this.#options.lastProgressAt(entry);
    if (!mayBeCut && progressAt <= this.#monitor.cutAt(key)) return false;
    return isRepeatable || progressAt > since;
  }

  /** The runner has requests in progress and has sent nothing for a time. */
  isSuspect(entry: RunnerEntry): boolean {
    if (!this.#options.isInUse(entry)) return false;
    const now = this.#options.clock.monotonic();
    return now - this.#waitingFrom(entry, now) > SILENCE_MS;
  }

  /** Records that a request is being sent to a runner. */
  recordSent(entry: RunnerEntry): void {
    const key = incarnationOf(entry);
    const since = this.#waitingSince.get(key) ?? -Infinity;
    if (since > this.#options.lastProgressAt(entry)) return;
    this.#waitingSince.set(key, this.#options.clock.monotonic());
  }

  /** Records that no connection to a runner could be opened. */
  recordFailure(entry: RunnerEntry, failure: LinkFailure): void {
    const { log, closeIdle, onChange } = this.#options;
    this.#reachedAt.delete(incarnationOf(entry));
    const isNew = this.#monitor.recordFailure(incarnationOf(entry), failure);
    if (failure === 'silent') closeIdle(entry);
    if (!isNew) return;
    log.notable('runner-link-lost', {
      runner: entry.id,
      failure,
      linksLost: this.#monitor.down.length,
    });
    onChange();
  }

  /** Records that a connection with a request in progress was lost. */
  recordLoss(entry: RunnerEntry): void {
    if (this.isLost(entry)) this.#monitor.recordCut();
    this.#monitor.suspect(incarnationOf(entry));
    this.#probe();
  }

  /** Probes links that are lost or silent; called several times a second. */
  update(): void {
    const { directory, clock, isInUse } = this.#options;
    const now = clock.monotonic();
    const listed = directory.all();
    const keys = new Set(listed.map(incarnationOf));
    this.#monitor.retain(keys);
    for (const times of [this.#reachedAt, this.#askedAt]) {
      for (const key of times.keys()) if (!keys.has(key)) times.delete(key);
    }
    for (const entry of listed) {
      const key = incarnationOf(entry);
      if (!isInUse(entry)) {
        this.#waitingSince.delete(key);
        continue;
      }
      if (now - this.#waitingFrom(entry, now) > SILENCE_MS) this.#monitor.suspect(key);
    }
    this.#suspectOthers();
    this.#probe();
  }

  close(): Promise<void> {
    this.#isClosed = true;
    return Promise.resolve();
  }

  /** Since when requests have been waiting for bytes of a runner, monotonic, in milliseconds. */
  #waitingFrom(entry: RunnerEntry, now: number): number {
    const sentAt = this.#waitingSince.get(incarnationOf(entry)) ?? now;
    return Math.max(this.#options.lastProgressAt(entry), sentAt);
  }

  /** When links are lost and the others have told nothing since, the cause may be on this side. */
  #suspectOthers(): void {
    if (this.#monitor.isEmpty) return;
    const { lastProgressAt } = this.#options;
    const used = this.#usedRunners();
    const down = used.filter((entry) => this.isLost(entry)).map(incarnationOf);
    if (down.length === 0) return;
    const since = Math.min(...down.map((key) => this.#monitor.downSince(key) ?? Infinity));
    const others = used.filter((entry) => !this.isLost(entry));
    if (others.some((entry) => lastProgressAt(entry) > since)) return;
    for (const entry of others.slice(0, MAX_SUSPECTED)) this.#monitor.suspect(incarnationOf(entry));
  }

  /** Listed runners that requests may be sent to. */
  #usedRunners(): readonly RunnerEntry[] {
    const { directory, isEvacuated } = this.#options;
    return directory.all().filter((entry) => !isEvacuated(entry));
  }

  #probe(): void {
    const due = new Set(this.#monitor.takeProbes());
    if (due.size === 0 || this.#isClosed) return;
    for (const entry of this.#options.directory.all()) {
      if (due.has(incarnationOf(entry))) this.#probeInBackground(entry);
    }
  }

  #probeInBackground(entry: RunnerEntry): void {
    this.#probeLink(entry).catch(this.#options.log.onTaskFailure(`probe of ${entry.id}`));
  }

  async #probeLink(entry: RunnerEntry): Promise<void> {
    const key = incarnationOf(entry);
    if (this.#probing.has(key)) return;
    this.#probing.add(key);
    const failure = await probeConnection(entry.address, CONNECT_TIMEOUT_MS).finally(() => {
      this.#probing.delete(key);
    });
    if (this.#isClosed) return;
    if (failure !== undefined) {
      this.recordFailure(entry, failure);
      return;
    }
    this.#reachedAt.set(key, this.#options.clock.monotonic());
    if (!this.#monitor.recordSuccess(key)) {
      this.#options.onChange();
      return;
    }
    const linksLost = this.#monitor.down.length;
    this.#options.log.notable('runner-link-back', { runner: entry.id, linksLost });
    this.#options.onChange();
  }
}
