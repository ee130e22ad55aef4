import type { RecomputeCause } from '@ragwortrudder/routing';

/** Attempts at one request on this node, and what the next attempt takes from them. */
export class AttemptHistory {
  readonly #avoidedRunners = new Set<string>();
  #started = 0;
  #failed = 0;
  #recomputeCause: RecomputeCause | undefined;
  #preferredRunner: string | undefined;

  /** Number of attempts started. */
  get started(): number {
    return this.#started;
  }

  /** Number of attempts that failed; attempts interrupted for another reason do not count. */
  get failed(): number {
    return this.#failed;
  }

  /** Runners that the next attempt avoids if another one has capacity. */
  get avoidedRunners(): ReadonlySet<string> {
    return this.#avoidedRunners;
  }

  /**
   * Why the next attempt must compute tokens again that were computed before; undefined if no
   * attempt was interrupted, here or on another node.
   */
  get recomputeCause(): RecomputeCause | undefined {
    return this.#recomputeCause;
  }

  /** Runner that holds the KV cache of the request, if it was moved there. */
  get preferredRunner(): string | undefined {
    return this.#preferredRunner;
  }

  start(): void {
    this.#started += 1;
    this.#preferredRunner = undefined;
  }

  /** Makes the next attempt use `runnerId` if it has capacity. */
  prefer(runnerId: string): void {
    this.#preferredRunner = runnerId;
  }

  /** Records that another node has already generated part of the answer. */
  continueFrom(recomputeCause: RecomputeCause): void {
    this.#recomputeCause = recomputeCause;
  }

  /** Records that the attempt on `runnerId` ended early. */
  interrupt(runnerId: string, recomputeCause: RecomputeCause): void {
    this.#recomputeCause = recomputeCause;
    if (recomputeCause === 'failure') this.#failed += 1;
    this.#avoidedRunners.clear();
    this.#avoidedRunners.add(runnerId);
  }
}
