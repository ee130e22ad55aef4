import { ResumeDiverged } from '../errors/resume-diverged.ts';
import type { EventBody } from '../types/event-body.ts';
import type { EventPosition } from '../types/event-position.ts';
import type { RequestEvent } from '../types/request-event.ts';
import { isFinal } from './is-final.ts';

/**
 * Numbered events of one request's answer. Events are first added, and become visible to callers
 * only when they are committed, which the owner does once a replica holds them.
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

  /** Number of the last event that callers may see. */
  get committed(): number {
    return this.#committed;
  }

  /** All events, committed or not. */
  get events(): readonly RequestEvent[] {
    return this.#events;
  }

  /** True when the last event has been committed. */
  get finished(): boolean {
    return this.#committed === this.#events.length && isFinal(this.#events.at(-1));
  }

  /** True when the last event has been added, committed or not. */
  get closed(): boolean {
    return isFinal(this.#events.at(-1));
  }

  /** Generated tokens so far, in order. */
  get tokens(): readonly string[] {
    return this.#events.flatMap((event) => (event.body.type === 'token' ? [event.body.text] : []));
  }

  /** Adds an event; it stays invisible until committed. */
  add(body: EventBody): RequestEvent {
    const event = { epoch: this.#epoch, number: this.#events.length + 1, body };
    this.#events.push(event);
    return event;
  }

  /** Numbers later events under `epoch`, which must be larger than the present one. */
  raiseEpoch(epoch: number): void {
    this.#epoch = Math.max(this.#epoch, epoch);
  }

  /** Makes all events up to `number` visible. */
  commit(number: number): void {
    if (number <= this.#committed) return;
    this.#committed = number;
    this.wake();
  }

  /** Calls all listeners, as after a change of the request's owner. */
  wake(): void {
    for (const listener of [...this.#listeners]) listener();
  }

  /**
   * Committed events after `position`.
   * @throws {@link ResumeDiverged} when the caller saw events that are not part of this log.
   */
  after(position: EventPosition): readonly RequestEvent[] {
    const last = this.#events[position.number - 1];
    const isKnown = position.number === 0 || last?.epoch === position.epoch;
    if (!isKnown) throw new ResumeDiverged(this.#id);
    return this.#events.slice(position.number, this.#committed);
  }

  /** Calls `listener` after each commit; returns the function that stops it. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
