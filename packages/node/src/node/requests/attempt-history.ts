import type { RecomputeCause } from '@ragwortrudder/routing';

/** What earlier attempts at one request on this node tell the next one. */
export class AttemptHistory {
  readonly #avoid = new Set<string>();
  #started = 0;
  #failed = 0;
  #cause: RecomputeCause | undefined;
  #preferred: string | undefined;

  /** Attempts started. */
  get started(): number {
    return this.#started;
  }

  /** Attempts that failed, without those that were interrupted for another reason. */
  get failed(): number {
    return this.#failed;
  }

  /** Runners not to use again for this request. */
  get avoid(): ReadonlySet<string> {
    return this.#avoid;
  }

  /** Why the last attempt ended early; undefined before the second attempt. */
  get cause(): RecomputeCause | undefined {
    return this.#cause;
  }

  /** Runner that holds the KV cache of the request. */
  get preferred(): string | undefined {
    return this.#preferred;
  }

  start(): void {
    this.#started += 1;
    this.#preferred = undefined;
  }

  /** Asks for the next attempt to use `runnerId` if it has room. */
  prefer(runnerId: string): void {
    this.#preferred = runnerId;
  }

  /** Notes that another node generated a part of the answer. */
  continueFrom(cause: RecomputeCause): void {
    this.#cause = cause;
  }

  /** Notes that the attempt on `runnerId` ended early. */
  interrupt(runnerId: string, cause: RecomputeCause): void {
    this.#cause = cause;
    if (cause === 'failure') this.#failed += 1;
    this.#avoid.clear();
    this.#avoid.add(runnerId);
  }
}
