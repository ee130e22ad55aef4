import type { ReplicaVerdict } from '../types/replica-verdict.ts';
import type { RequestCopy } from '../types/request-copy.ts';
import type { RequestEvent } from '../types/request-event.ts';
import { isFinal } from './is-final.ts';

/** Mutable replica of one request; appending an event does not copy the earlier ones. */
export class StoredReplica {
  readonly #copy: RequestCopy;
  readonly #events: RequestEvent[];
  #updatedAt: number;

  constructor(copy: RequestCopy, now: number) {
    this.#copy = copy;
    this.#events = [...copy.events];
    this.#updatedAt = now;
  }

  get epoch(): number {
    return this.#copy.epoch;
  }

  get request(): RequestCopy['request'] {
    return this.#copy.request;
  }

  /** Copy of the current state. */
  get copy(): RequestCopy {
    return { ...this.#copy, events: [...this.#events] };
  }

  /** Owner of the request according to the last full update. */
  get owner(): RequestCopy['owner'] {
    return this.#copy.owner;
  }

  /** Monotonic time of the last update in milliseconds. */
  get updatedAt(): number {
    return this.#updatedAt;
  }

  /** True when the replica has the final event of the request. */
  get finished(): boolean {
    return isFinal(this.#events.at(-1));
  }

  /** Appends the events that are new; returns `missing` when there is a gap before them. */
  append(events: readonly RequestEvent[], now: number): ReplicaVerdict {
    const newEvents = events.filter((event) => event.number > this.#events.length);
    const first = newEvents[0];
    if (first && first.number !== this.#events.length + 1) return 'missing';
    this.#events.push(...newEvents);
    this.#updatedAt = now;
    return 'ok';
  }
}
