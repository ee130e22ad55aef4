import { AttemptTracker, claimFold, decideClaim } from '@ragwortrudder/claims';
import type { ClaimDecision, ClaimState, Owner } from '@ragwortrudder/claims';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { GroupCommit, LogFollower } from '@ragwortrudder/log';
import type { Log } from '@ragwortrudder/log';

const TENANT = 'novak-buyers';
const RETRY_AFTER_MS = 1000;
const POLL_PERIOD_MS = 5;

interface OnceOnlyOptions {
  readonly log: Log;
  readonly self: Owner;
  readonly seed: number;
  /** The operation that must run at most once for each key. */
  readonly run: (key: string) => Promise<unknown>;
}

/** Runs an operation at most once for each key, even if several nodes receive the key concurrently. */
export class OnceOnly implements Closeable {
  readonly #options: OnceOnlyOptions;
  readonly #attempts = new AttemptTracker();
  readonly #follower: LogFollower<ClaimState>;
  readonly #writer: GroupCommit;

  constructor(options: OnceOnlyOptions) {
    const random = new SeededRandom(options.seed);
    const { log } = options;
    this.#options = options;
    this.#follower = new LogFollower({ log, fold: claimFold(), clock: new SystemClock(), random });
    this.#writer = new GroupCommit({ log, follower: this.#follower, random });
    this.#follower.start();
  }

  /** Returns the outcome of the operation for `key`, which another node may have run. */
  async call(key: string, requestDigest: string): Promise<ClaimDecision> {
    for (;;) {
      const decision = decideClaim(this.#follower.state, {
        self: this.#options.self,
        tenant: TENANT,
        key,
        requestDigest,
        isGone: () => false,
        isStarted: (attempt) => this.#attempts.isStarted(attempt),
        logAvailable: this.#follower.failure === undefined,
        retryAfterMs: RETRY_AFTER_MS,
      });
      if (decision.kind === 'run') await this.#step(decision, key, requestDigest);
      else if (decision.kind !== 'wait') return decision;
      else await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
    }
  }

  async close(): Promise<void> {
    await this.#writer.close();
    await this.#follower.close();
  }

  async #step(
    decision: Extract<ClaimDecision, { readonly kind: 'run' }>,
    key: string,
    requestDigest: string,
  ): Promise<void> {
    const { self, run } = this.#options;
    const subject = { tenant: TENANT, key, ...self };
    if (decision.step === 'claim') {
      const service = 'orders';
      await this.#writer.write({ type: 'claim', ...subject, requestDigest, service });
      return;
    }
    const { attempt } = decision;
    if (decision.step === 'sending') {
      await this.#writer.write({ type: 'sending', ...subject, attempt });
      return;
    }
    if (decision.step !== 'send' || !this.#attempts.begin(attempt)) return;
    const result = await run(key);
    await this.#writer.write({ type: 'outcome', ...subject, attempt, word: 'completed', result });
  }
}
