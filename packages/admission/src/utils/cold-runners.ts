import type { Clock } from '@ragwortrudder/core';
import type { ColdService } from '../types/cold-service.ts';
import type { ColdStatement } from '../types/cold-statement.ts';
import type { StatedLimit } from '../types/stated-limit.ts';
import { MAX_COLD_MS } from './max-cold-ms.ts';
import { RunnerStatements } from './runner-statements.ts';

interface ColdTime {
  /** Remaining cold time when it was stated, in milliseconds. */
  readonly coldMs: number;
  /** When the entry was read, or the response received; monotonic, in milliseconds. */
  readonly at: number;
}

interface ListedEntry extends ColdTime {
  readonly service: string;
}

interface ColdChange {
  readonly runner: string;
  readonly service: string;
  /** Remaining time, in milliseconds; 0 when the runner is no longer cold. */
  readonly remainingMs: number;
  readonly perSecond: number;
}

/** Longest cold period that is believed where the configuration does not state the usual one. */
const DEFAULT_MAX_COLD_MS = 60_000;
/** Longest cold period that is believed, as a factor of the usual one. */
const MAX_WARMUPS = 2;
/** Longest time from the writing of an entry until nodes have read it, in milliseconds: the list is read every 700 ms. */
const ENTRY_DELAY_MS = 1_500;
/** Time for which the end of a cold period is reported, in milliseconds. */
const END_REPORTED_MS = 10_000;

/**
 * Which incarnations of runners are cold, by their entries in the list and by their responses to all nodes;
 * the newest of these statements holds. Only services with a limit for cold runners are considered.
 */
export class ColdRunners {
  readonly #clock: Clock;
  readonly #entries = new Map<string, ListedEntry>();
  /** Remaining cold times that runners stated in responses, in milliseconds. */
  readonly #statements: RunnerStatements;
  readonly #services = new Map<string, ColdService & { readonly coldPerS: number }>();
  /** Runners whose cold period has been returned as a change, with their limits. */
  readonly #announced = new Map<string, { readonly service: string; readonly perSecond: number }>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#statements = new RunnerStatements({ clock, onChange: () => undefined });
  }

  /** Applies the configuration. */
  setServices(services: readonly ColdService[]): void {
    this.#services.clear();
    for (const service of services) {
      const { name, coldPerS = 0 } = service;
      if (coldPerS > 0) this.#services.set(name, { ...service, coldPerS });
    }
  }

  /** No service has a limit for cold runners. */
  get isEmpty(): boolean {
    return this.#services.size === 0;
  }

  /** Records an entry of the list that was read now. */
  recordEntry(runner: string, service: string, coldMs: number): void {
    this.#entries.set(runner, { service, coldMs, at: this.#clock.monotonic() });
  }

  /** Records the remaining cold time that a runner stated in a response to this node. */
  record(runner: string, coldMs: number | undefined): void {
    // A value that no report may have would make peers reject all of the report.
    if (this.isEmpty || coldMs === undefined || !(coldMs >= 0 && coldMs <= MAX_COLD_MS)) return;
    if (coldMs === 0 && this.remainingMs(runner) === 0) return;
    this.#statements.record(runner, coldMs);
  }

  /** Applies the statements that a peer received. */
  setPeerStatements(statements: readonly ColdStatement[]): void {
    if (!this.isEmpty) this.#statements.setOfPeer(statements.map(limitOfStatement));
  }

  /** Applies the statements that the nodes of another failure domain received. */
  setDomainStatements(statements: readonly ColdStatement[]): void {
    if (!this.isEmpty) this.#statements.setOfDomain(statements.map(limitOfStatement));
  }

  /** Newest statements that this node received. */
  get own(): readonly ColdStatement[] {
    return this.#statements.own.map(statementOfLimit);
  }

  /** Newest statements that this node and its peers received. */
  get ofDomain(): readonly ColdStatement[] {
    return this.#statements.ofDomain.map(statementOfLimit);
  }

  /** Time until a runner is warm, in milliseconds; 0 when it has no limit. */
  remainingMs(runner: string): number {
    const entry = this.#entries.get(runner);
    const service = entry && this.#services.get(entry.service);
    if (!service) return 0;
    const stated = this.#statements.find(runner);
    const newest = stated
      ? newestOf(entry, { coldMs: stated.perSecond ?? 0, at: stated.at })
      : entry;
    const { warmupMs = 0 } = service;
    const longestMs = warmupMs > 0 ? MAX_WARMUPS * warmupMs : DEFAULT_MAX_COLD_MS;
    const passedMs = Math.max(0, this.#clock.monotonic() - newest.at);
    return Math.max(0, Math.min(longestMs, newest.coldMs) - passedMs);
  }

  /** Requests per second that a cold runner tolerates from all nodes; undefined when it is not cold. */
  limitOf(runner: string): number | undefined {
    if (this.isEmpty || this.remainingMs(runner) === 0) return undefined;
    const service = this.#entries.get(runner)?.service;
    return service === undefined ? undefined : this.#services.get(service)?.coldPerS;
  }

  /** Returns the cold periods that have begun or ended since the last call. */
  takeChanges(): readonly ColdChange[] {
    const changes: ColdChange[] = [];
    for (const [runner, { service }] of this.#entries) {
      const perSecond = this.limitOf(runner);
      if (perSecond === undefined || this.#announced.has(runner)) continue;
      this.#announced.set(runner, { service, perSecond });
      changes.push({ runner, service, perSecond, remainingMs: this.remainingMs(runner) });
    }
    for (const [runner, known] of this.#announced) {
      if (this.limitOf(runner) !== undefined) continue;
      this.#announced.delete(runner);
      changes.push({ runner, ...known, remainingMs: 0 });
    }
    return changes;
  }

  /** Drops the runners that no longer exist, and statements that have been over for some time. */
  retain(runners: ReadonlySet<string>): void {
    for (const runner of this.#entries.keys()) {
      if (!runners.has(runner)) this.#entries.delete(runner);
    }
    this.#statements.retain(runners);
    this.#statements.drop((coldMs, ageMs) => ageMs > Math.max(coldMs, END_REPORTED_MS));
  }
}

/**
 * The one that holds of an entry and a statement in a response. An entry that was read shortly after the
 * response may have been written before it, and does not shorten the cold period.
 */
function newestOf(entry: ColdTime, stated: ColdTime): ColdTime {
  if (stated.at > entry.at) return stated;
  const mayBeOlder = entry.at - stated.at < ENTRY_DELAY_MS;
  const isLonger = stated.at + stated.coldMs > entry.at + entry.coldMs;
  return mayBeOlder && isLonger ? stated : entry;
}

function limitOfStatement({ runner, coldMs, ageMs }: ColdStatement): StatedLimit {
  return { runner, perSecond: coldMs, ageMs };
}

function statementOfLimit({ runner, perSecond, ageMs }: StatedLimit): ColdStatement {
  return { runner, coldMs: perSecond ?? 0, ageMs };
}
