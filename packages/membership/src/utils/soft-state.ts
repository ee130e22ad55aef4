import type { Incarnation } from '@ragwortrudder/core';
import type { OriginVersion } from '../types/origin-version.ts';
import type { PublishOptions } from '../types/publish-options.ts';
import type { PublishedEntry } from '../types/published-entry.ts';
import type { SoftStateEntry } from '../types/soft-state-entry.ts';
import type { SoftStateOptions } from '../types/soft-state-options.ts';

interface StoredEntry<Value> extends PublishedEntry<Value> {
  /** Size of the entry as JSON. */
  readonly bytes: number;
}

function isNewer(a: OriginVersion, b: OriginVersion): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.version > b.version;
}

function toPublished<Value>(stored: StoredEntry<Value>): PublishedEntry<Value> {
  const { nodeId, incarnation, version, urgent, value } = stored;
  return { nodeId, incarnation, version, ...(urgent && { urgent }), value };
}

/**
 * Replicated map with one entry per origin. Merging keeps the larger (incarnation, version) and is commutative,
 * associative and idempotent.
 */
export class SoftState<Value> {
  readonly #entries = new Map<string, StoredEntry<Value>>();
  readonly #accepts: (value: unknown) => value is Value;
  readonly #listeners = new Set<(entry: PublishedEntry<Value>) => void>();
  #origin: Incarnation;
  #version = 0;
  #rejected = 0;

  constructor(options: SoftStateOptions<Value>) {
    this.#origin = options.origin;
    this.#accepts = options.isValid;
  }

  /** Number of received entries that were dropped because their value failed validation. */
  get rejected(): number {
    return this.#rejected;
  }

  /** All entries, one per origin. */
  get entries(): readonly PublishedEntry<Value>[] {
    return [...this.#entries.values()].map(toPublished);
  }

  /** Returns the entry of one origin. */
  get(nodeId: string): PublishedEntry<Value> | undefined {
    const stored = this.#entries.get(nodeId);
    return stored ? toPublished(stored) : undefined;
  }

  /** Publishes a new value of the local node; an urgent one is gossiped with the priority of a membership update. */
  publish(value: Value, options: PublishOptions = {}): void {
    this.#version += 1;
    const { nodeId, number } = this.#origin;
    const key = { nodeId, incarnation: number, version: this.#version };
    this.#store({ ...key, ...(options.urgent && { urgent: true }), value });
  }

  /** Switches to a new incarnation and republishes the last value under it. */
  renew(origin: Incarnation): void {
    const last = this.#entries.get(this.#origin.nodeId);
    this.#origin = origin;
    if (last) this.publish(last.value);
  }

  /** Merges received entries and returns those that replaced an older one or were new. */
  merge(entries: readonly SoftStateEntry[]): readonly PublishedEntry<Value>[] {
    const applied: PublishedEntry<Value>[] = [];
    for (const received of entries) {
      const known = this.#entries.get(received.nodeId);
      if (known && !isNewer(received, known)) continue;
      const { value } = received;
      if (!this.#accepts(value)) {
        this.#rejected += 1;
        continue;
      }
      const entry = { ...received, value };
      this.#store(entry);
      applied.push(entry);
    }
    return applied;
  }

  /** Removes the entry of an origin that is gone; the local entry is never removed. */
  drop(nodeId: string): void {
    if (nodeId !== this.#origin.nodeId) this.#entries.delete(nodeId);
  }

  /** Returns the size of the entry of `nodeId` as JSON. */
  sizeOf(nodeId: string): number {
    return this.#entries.get(nodeId)?.bytes ?? 0;
  }

  /** Calls `listener` for every stored entry; returns a function that unsubscribes it. */
  subscribe(listener: (entry: PublishedEntry<Value>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #store(entry: PublishedEntry<Value>): void {
    const bytes = JSON.stringify(entry).length;
    this.#entries.set(entry.nodeId, { ...entry, bytes });
    for (const listener of this.#listeners) listener(entry);
  }
}
