import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import type { OwnedRequest } from './owned-request.ts';

/** The requests that this node owns, and those that it ended of late. */
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

  /** Request `id`, ended or not. */
  find(id: string): OwnedRequest | undefined {
    return this.#requests.get(id);
  }

  /** Request under an idempotency key. */
  findByKey(tenant: string, key: string): OwnedRequest | undefined {
    const id = this.#byKey.get(scopedKey(tenant, key));
    return id === undefined ? undefined : this.#requests.get(id);
  }

  /** Drops the requests that ended longer ago than their retention, and returns their ids. */
  sweep(): readonly string[] {
    const endedBefore = this.#clock.monotonic() - this.#retentionMs;
    const expired = [...this.#requests.values()].filter(
      ({ endedAt }) => endedAt !== undefined && endedAt < endedBefore,
    );
    for (const { request } of expired) {
      this.#requests.delete(request.id);
      const scopedName = scopedKey(request.tenant, request.key ?? '');
      if (this.#byKey.get(scopedName) === request.id) this.#byKey.delete(scopedName);
    }
    return expired.map(({ request }) => request.id);
  }
}

function scopedKey(tenant: string, key: string): string {
  return `${tenant}/${key}`;
}
