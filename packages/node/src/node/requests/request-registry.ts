import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import type { OwnedRequest } from './owned-request.ts';

/** The requests that this node owns, including those that ended within the retention period. */
@injectable()
export class RequestRegistry {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #requests = new Map<string, OwnedRequest>();
  readonly #byKey = new Map<string, string>();

  constructor(@inject(tokens.clock) clock: Clock, @inject(tokens.settings) settings: Settings) {
    this.#clock = clock;
    this.#retentionMs = settings.requests.retentionMs;
  }

  /** Number of requests that have not ended. */
  get open(): number {
    return this.unfinished.length;
  }

  /** Requests that have not ended. */
  get unfinished(): readonly OwnedRequest[] {
    return [...this.#requests.values()].filter((owned) => !owned.ended);
  }

  add(owned: OwnedRequest): void {
    const { id, tenant, key } = owned.request;
    this.#requests.set(id, owned);
    if (key !== undefined) this.#byKey.set(scopedKey(tenant, key), id);
  }

  /** Request `id`, whether or not it has ended. */
  find(id: string): OwnedRequest | undefined {
    return this.#requests.get(id);
  }

  /** Request under an idempotency key of `tenant`. */
  findByKey(tenant: string, key: string): OwnedRequest | undefined {
    const id = this.#byKey.get(scopedKey(tenant, key));
    return id === undefined ? undefined : this.#requests.get(id);
  }

  /** Drops the requests whose retention period is over, and returns their ids. */
  sweep(): readonly string[] {
    const endedBefore = this.#clock.monotonic() - this.#retentionMs;
    const expired = [...this.#requests.values()].filter(
      ({ endedAt }) => endedAt !== undefined && endedAt < endedBefore,
    );
    for (const { request } of expired) {
      this.#requests.delete(request.id);
      const requestKey = scopedKey(request.tenant, request.key ?? '');
      if (this.#byKey.get(requestKey) === request.id) this.#byKey.delete(requestKey);
    }
    return expired.map(({ request }) => request.id);
  }
}

function scopedKey(tenant: string, key: string): string {
  return `${tenant}/${key}`;
}
