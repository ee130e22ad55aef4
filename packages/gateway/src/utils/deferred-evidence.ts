import type { RunnerEntry } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';

interface DeferredEvidenceOptions {
  readonly clock: Clock;
  /** The node's own link to a runner is the cause of what it sees there. */
  readonly isOwnFault: (entry: RunnerEntry) => boolean;
}

interface PendingRecord {
  readonly entry: RunnerEntry;
  readonly dueAt: number;
  readonly record: () => void;
}

/**
 * Time for which evidence against runners and versions is held back, in milliseconds: by then a node that
 * has lost its link to a runner has heard whether its peers reach it.
 */
const HOLD_MS = 600;

/** Holds back what a node holds against a runner until it is clear that its own link is not the cause. */
export class DeferredEvidence {
  readonly #options: DeferredEvidenceOptions;
  #pending: readonly PendingRecord[] = [];

  constructor(options: DeferredEvidenceOptions) {
    this.#options = options;
  }

  /** Calls `record` later, unless the link to the runner turns out to be lost. */
  add(entry: RunnerEntry, record: () => void): void {
    const dueAt = this.#options.clock.monotonic() + HOLD_MS;
    this.#pending = [...this.#pending, { entry, dueAt, record }];
  }

  /** Applies what is due and drops what the node's own links explain. */
  settle(): void {
    if (this.#pending.length === 0) return;
    const { clock, isOwnFault } = this.#options;
    const now = clock.monotonic();
    const pending = this.#pending.filter(({ entry }) => !isOwnFault(entry));
    this.#pending = pending.filter(({ dueAt }) => dueAt > now);
    for (const { dueAt, record } of pending) if (dueAt <= now) record();
  }
}
