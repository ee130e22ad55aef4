import type { ReplicaVerdict } from '../types/replica-verdict.ts';
import type { RequestCopy } from '../types/request-copy.ts';
import type { RequestEvent } from '../types/request-event.ts';
import { isFinal } from './is-final.ts';

/** Replica of one request; appending an event does not copy the earlier ones. */
export class HeldReplica {
  readonly #copy: RequestCopy;
  readonly #events: RequestEvent[];
  #touchedAt: number;

  constructor(copy: RequestCopy, now: number) {
    this.#copy = copy;
    this.#events = [...copy.events];
    this.#touchedAt = now;
  }

  get epoch(): number {
    return this.#copy.epoch;
  }

  get request(): RequestCopy['request'] {
    return this.#copy.request;
  }

  /** Read-only copy as it stands now. */
  get copy(): RequestCopy {
    return { ...this.#copy, events: [...this.#events] };
  }

  /** Owner that sent the last update. */
  get owner(): RequestCopy['owner'] {
    return this.#copy.owner;
  }

  /** Monotonic time of the last update in milliseconds. */
  get touchedAt(): number {
    return this.#touchedAt;
  }

  /** True when the last event of the request is held. */
  get finished(): boolean {
    return isFinal(this.#events.at(-1));
  }

  /** Appends the events not yet held; `missing` when there is a gap before them. */
  append(events: readonly RequestEvent[], now: number): ReplicaVerdict {
    const fresh = events.filter((event) => event.number > this.#events.length);
    const first = fresh[0];
    if (first && first.number !== this.#events.length + 1) return 'missing';
    this.#events.push(...fresh);
    this.#touchedAt = now;
    return 'ok';
  }
}
