import type { ExecutorTable, OutcomeWord } from '@ragwortrudder/claims';
import type { Outcome } from '@ragwortrudder/requests';
import type { RunPermit } from '../../types/run-permit.ts';

/** {@link RunPermit} of a key that names this incarnation as its executor. */
export class IssuedPermit implements RunPermit {
  readonly #table: ExecutorTable;
  readonly #key: string;

  constructor(table: ExecutorTable, key: string) {
    this.#table = table;
    this.#key = key;
  }

  begin(): Promise<Outcome | undefined> {
    this.#table.startSending(this.#key);
    return Promise.resolve(undefined);
  }

  finish(word: OutcomeWord, result?: unknown): Promise<void> {
    this.#table.finish(this.#key, word, result);
    return Promise.resolve();
  }

  giveUp(): boolean {
    return this.#table.transferable().includes(this.#key);
  }
}
