import type { RecomputeCause } from '@ragwortrudder/routing';

/** What earlier attempts at one request on this node tell the next one. */
export class AttemptHistory {
  readonly #avoidedRunners = new Set<string>();
  #started = 0;
  #failed = 0;
  #recomputeCause: RecomputeCause | undefined;
  #preferredRunner: string | undefined;

  /** Attempts started. */
  get started(): number {
    return this.#started;
  }

  /** Attempts that failed, without those that were interrupted for another reason. */
  get failed(): number {
    return this.#failed;
  }

  /** Runners not to use again for this request. */
  get avoidedRunners(): ReadonlySet<string> {
    return this.#avoidedRunners;
  }

  /** Why the last attempt ended early; undefined before the second attempt. */
  get recomputeCause(): RecomputeCause | undefined {
    return this.#recomputeCause;
  }

  /** Runner that holds the KV cache of the request. */
  get preferredRunner(): string | undefined {
    return this.#preferredRunner;
  }

  start(): void {
    this.#started += 1;
    this.#preferredRunner = undefined;
  }

  /** Asks for the next attempt to use `runnerId` if it has room. */
  prefer(runnerId: string): void {
    this.#preferredRunner = runnerId;
  }

  /** Notes that another node generated a part of the answer. */
  continueFrom(recomputeCause: RecomputeCause): void {
    this.#recomputeCause = recomputeCause;
  }

  /** Notes that the attempt on `runnerId` ended early. */
  interrupt(runnerId: string, recomputeCause: RecomputeCause): void {
    this.#recomputeCause = recomputeCause;
    if (recomputeCause === 'failure') this.#failed += 1;
    this.#avoidedRunners.clear();
    this.#avoidedRunners.add(runnerId);
  }
}
