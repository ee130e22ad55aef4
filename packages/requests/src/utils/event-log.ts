import { ResumeDiverged } from '../errors/resume-diverged.ts';
import type { EventBody } from '../types/event-body.ts';
import type { EventPosition } from '../types/event-position.ts';
import type { RequestEvent } from '../types/request-event.ts';
import { isFinal } from './is-final.ts';

/**
 * Log of the numbered events of one request. Events are first added and become visible to callers
 * only when the owner commits them, which it does once a replica has stored them.
 */
export class EventLog {
  readonly #id: string;
  readonly #events: RequestEvent[];
  readonly #listeners = new Set<() => void>();
  #epoch: number;
  #committed: number;

  constructor(id: string, epoch: number, events: readonly RequestEvent[] = []) {
    this.#id = id;
    this.#epoch = epoch;
    this.#events = [...events];
    this.#committed = events.length;
  }

  get epoch(): number {
    return this.#epoch;
  }

  /** Number of the last event that is visible to callers. */
  get committed(): number {
    return this.#committed;
  }

  /** All events, including uncommitted ones. */
  get events(): readonly RequestEvent[] {
    return this.#events;
  }

  /** True when the final event has been committed. */
  get finished(): boolean {
    return this.#committed === this.#events.length && isFinal(this.#events.at(-1));
  }

  /** True when the final event has been added, whether or not it is committed. */
  get closed(): boolean {
    return isFinal(this.#events.at(-1));
  }

  /** Generated tokens so far, in order. */
  get tokens(): readonly string[] {
    return this.#events.flatMap((event) => (event.body.type === 'token' ? [event.body.text] : []));
  }

  /** Appends an event; it is not visible to callers until it is committed. */
  add(body: EventBody): RequestEvent {
    const event = { epoch: this.#epoch, number: this.#events.length + 1, body };
    this.#events.push(event);
    return event;
  }

  /** Uses `epoch` for events added later; an epoch lower than the current one is ignored. */
  raiseEpoch(epoch: number): void {
    this.#epoch = Math.max(this.#epoch, epoch);
  }

  /** Commits all events up to `number`, which makes them visible to callers. */
  commit(number: number): void {
    if (number <= this.#committed) return;
    this.#committed = number;
    this.notifyListeners();
  }

  /** Notifies all listeners, for example after a change of the request's owner. */
  notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }

  /**
   * Returns the committed events after `position`.
   * @throws {@link ResumeDiverged} when the caller received events that are not part of this log.
   */
  eventsAfter(position: EventPosition): readonly RequestEvent[] {
    const lastSeen = this.#events[position.number - 1];
    const isKnown = position.number === 0 || lastSeen?.epoch === position.epoch;
    if (!isKnown) throw new ResumeDiverged(this.#id);
    return this.#events.slice(position.number, this.#committed);
  }

  /**
   * Calls `listener` after each commit and {@link notifyListeners}; returns a function that unsubscribes it.
   */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
