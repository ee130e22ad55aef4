import type { Clock } from '@ragwortrudder/core';
import type { StatedLimit } from '../types/stated-limit.ts';

interface RunnerStatementsOptions {
  readonly clock: Clock;
  /** Called when what a runner states has changed. */
  readonly onChange: (
    runner: string,
    value: number | undefined,
    before: number | undefined,
  ) => void;
}

interface Statement {
  readonly perSecond: number | undefined;
  readonly at: number;
}

/** How long the end of a statement is reported, in milliseconds: nodes that lose reports learn of it too. */
const END_REPORTED_MS = 10_000;
const MAX_REPORTED = 64;

/**
 * Rates that runners state in their responses, by incarnation of the runner: as this node has read them,
 * and as its peers have. The newest statement holds, also one that there is none any more.
 */
export class RunnerStatements {
  readonly #options: RunnerStatementsOptions;
  readonly #own = new Map<string, Statement>();
  /** From nodes that report to this one. */
  readonly #fromPeers = new Map<string, Statement>();
  /** From summaries of other failure domains, which are not passed on. */
  readonly #fromDomains = new Map<string, Statement>();

  constructor(options: RunnerStatementsOptions) {
    this.#options = options;
  }

  /** No runner states anything or has stated something that may still matter. */
  get isEmpty(): boolean {
    return this.#own.size + this.#fromPeers.size + this.#fromDomains.size === 0;
  }

  /** Newest statements that this node received. */
  get own(): readonly StatedLimit[] {
    return this.#encode([this.#own]);
  }

  /** Newest statements that this node and its peers received. */
  get ofDomain(): readonly StatedLimit[] {
    return this.#encode([this.#own, this.#fromPeers]);
  }

  /** What a runner states; undefined when it states nothing. */
  valueOf(runner: string): number | undefined {
    return this.#statementOf(runner)?.perSecond;
  }

  /** Newest statement of a runner, and when it was made; monotonic, in milliseconds. */
  find(runner: string): Statement | undefined {
    return this.#statementOf(runner);
  }

  /** The runner has stated something, perhaps that there is nothing any more. */
  isKnown(runner: string): boolean {
    return this.#statementOf(runner) !== undefined;
  }

  /** Records what a runner stated in a response to this node. */
  record(runner: string, perSecond: number | undefined): void {
    const before = this.valueOf(runner);
    if (perSecond === undefined && before === undefined) return;
    this.#own.set(runner, { perSecond, at: this.#options.clock.monotonic() });
    this.#tellChange(runner, before);
  }

  /** Applies the statements that a peer received. */
  setOfPeer(statements: readonly StatedLimit[]): void {
    this.#merge(this.#fromPeers, statements);
  }

  /** Applies the statements that the nodes of another failure domain received. */
  setOfDomain(statements: readonly StatedLimit[]): void {
    this.#merge(this.#fromDomains, statements);
  }

  /** Drops the statements of runners that no longer exist. */
  retain(runners: ReadonlySet<string>): void {
    for (const map of [this.#own, this.#fromPeers, this.#fromDomains]) {
      for (const runner of map.keys()) if (!runners.has(runner)) map.delete(runner);
    }
  }

  /** Drops statements by their values and ages. */
  drop(isOver: (value: number, ageMs: number) => boolean): void {
    const now = this.#options.clock.monotonic();
    for (const map of [this.#own, this.#fromPeers, this.#fromDomains]) {
      for (const [runner, { perSecond, at }] of map) {
        if (isOver(perSecond ?? 0, now - at)) map.delete(runner);
      }
    }
  }

  #merge(map: Map<string, Statement>, statements: readonly StatedLimit[]): void {
    const now = this.#options.clock.monotonic();
    for (const { runner, perSecond, ageMs } of statements) {
      const at = now - ageMs;
      const known = map.get(runner);
      if (known && known.at >= at) continue;
      const before = this.valueOf(runner);
      map.set(runner, { perSecond: perSecond ?? undefined, at });
      this.#tellChange(runner, before);
    }
  }

  #tellChange(runner: string, before: number | undefined): void {
    const value = this.valueOf(runner);
    if (value !== before) this.#options.onChange(runner, value, before);
  }

  #statementOf(runner: string): Statement | undefined {
    let newest: Statement | undefined;
    for (const map of [this.#own, this.#fromPeers, this.#fromDomains]) {
      const statement = map.get(runner);
      if (statement && statement.at > (newest?.at ?? -Infinity)) newest = statement;
    }
    return newest;
  }

  #encode(maps: readonly ReadonlyMap<string, Statement>[]): readonly StatedLimit[] {
    const now = this.#options.clock.monotonic();
    const newest = new Map<string, Statement>();
    for (const [runner, statement] of maps.flatMap((map) => [...map])) {
      if (statement.at > (newest.get(runner)?.at ?? -Infinity)) newest.set(runner, statement);
    }
    return [...newest]
      .filter(([, { perSecond, at }]) => perSecond !== undefined || now - at < END_REPORTED_MS)
      .slice(0, MAX_REPORTED)
      .map(([runner, { perSecond, at }]) => {
        return { runner, perSecond: perSecond ?? null, ageMs: Math.round(now - at) };
      });
  }
}
