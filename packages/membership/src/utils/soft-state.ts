import type { Incarnation } from '@ragwortrudder/core';
import type { OriginVersion } from '../types/origin-version.ts';
import type { PublishOptions } from '../types/publish-options.ts';
import type { Published } from '../types/published.ts';
import type { SoftStateEntry } from '../types/soft-state-entry.ts';
import type { SoftStateOptions } from '../types/soft-state-options.ts';

interface Held<Value> extends Published<Value> {
  /** Size of the entry as JSON. */
  readonly bytes: number;
}

function isNewer(a: OriginVersion, b: OriginVersion): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.version > b.version;
}

function publicEntry<Value>(held: Held<Value>): Published<Value> {
  const { nodeId, incarnation, version, urgent, value } = held;
  return { nodeId, incarnation, version, ...(urgent && { urgent }), value };
}

/**
 * One entry for each origin, joined from peers. The join keeps the larger (incarnation, version) and is
 * commutative, associative and idempotent.
 */
export class SoftState<Value> {
  readonly #entries = new Map<string, Held<Value>>();
  readonly #accepts: (value: unknown) => value is Value;
  readonly #listeners = new Set<(entry: Published<Value>) => void>();
  #origin: Incarnation;
  #version = 0;
  #rejected = 0;

  constructor(options: SoftStateOptions<Value>) {
    this.#origin = options.origin;
    this.#accepts = options.accepts;
  }

  /** Number of received entries that were dropped because of their shape. */
  get rejected(): number {
    return this.#rejected;
  }

  /** All entries, one for each origin. */
  get entries(): readonly Published<Value>[] {
    return [...this.#entries.values()].map(publicEntry);
  }

  /** Entry of one origin. */
  get(nodeId: string): Published<Value> | undefined {
    const held = this.#entries.get(nodeId);
    return held ? publicEntry(held) : undefined;
  }

  /** Publishes a new value of this node; an urgent one reaches every node as fast as a change of members. */
  publish(value: Value, options: PublishOptions = {}): void {
    this.#version += 1;
    const { nodeId, number } = this.#origin;
    const key = { nodeId, incarnation: number, version: this.#version };
    this.#keep({ ...key, ...(options.urgent && { urgent: true }), value });
  }

  /** Continues under a new incarnation and publishes the last value again. */
  renew(origin: Incarnation): void {
    const last = this.#entries.get(this.#origin.nodeId);
    this.#origin = origin;
    if (last) this.publish(last.value);
  }

  /** Joins received entries and returns those that were new. */
  merge(entries: readonly SoftStateEntry[]): readonly Published<Value>[] {
    const changed: Published<Value>[] = [];
    for (const received of entries) {
      const known = this.#entries.get(received.nodeId);
      if (known && !isNewer(received, known)) continue;
      const { value } = received;
      if (!this.#accepts(value)) {
        this.#rejected += 1;
        continue;
      }
      const entry = { ...received, value };
      this.#keep(entry);
      changed.push(entry);
    }
    return changed;
  }

  /** Removes the entry of an origin that is gone. */
  drop(nodeId: string): void {
    if (nodeId !== this.#origin.nodeId) this.#entries.delete(nodeId);
  }

  /** Size in bytes of the entry of `nodeId` as JSON. */
  sizeOf(nodeId: string): number {
    return this.#entries.get(nodeId)?.bytes ?? 0;
  }

  /** Calls `listener` for every new entry; returns a function that ends this. */
  subscribe(listener: (entry: Published<Value>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #keep(entry: Published<Value>): void {
    const bytes = JSON.stringify(entry).length;
    this.#entries.set(entry.nodeId, { ...entry, bytes });
    for (const listener of this.#listeners) listener(entry);
  }
}
