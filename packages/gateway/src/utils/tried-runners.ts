import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { ChosenRunner } from '../types/chosen-runner.ts';

type Connection = 'any' | 'new' | 'refused';

/** Runners that a request was tried at, and over which connections it may go on. */
export class TriedRunners {
  readonly #connections = new Map<string, Connection>();
  #unsent = 0;
  #hasLostConnection = false;

  get size(): number {
    return this.#connections.size;
  }

  /** Attempts in which no connection could be opened. */
  get unsent(): number {
    return this.#unsent;
  }

  /** A connection was lost under the request; whatever has cut it may have cut those that are idle. */
  get hasLostConnection(): boolean {
    return this.#hasLostConnection;
  }

  has(id: string): boolean {
    return this.#connections.has(id);
  }

  /** Nothing was sent to the runner: it was not tried, or a connection had to be opened and could not. */
  mayUseOpen(id: string): boolean {
    return (this.#connections.get(id) ?? 'refused') === 'refused';
  }

  /** Records an attempt; returns whether it needs a new connection. */
  recordStart({ entry, usesOpen = false }: Pick<ChosenRunner, 'entry' | 'usesOpen'>): boolean {
    const needsNew = this.#hasLostConnection && !usesOpen;
    this.#connections.set(entry.id, needsNew ? 'new' : 'any');
    return needsNew;
  }

  recordOutcome(id: string, outcome: AttemptOutcome): void {
    if (outcome.kind === 'broken') this.#hasLostConnection ||= outcome.isConnectionLost;
    if (outcome.kind !== 'unsent') return;
    this.#unsent += 1;
    if (this.#connections.get(id) === 'new') this.#connections.set(id, 'refused');
  }
}
