import type { ExecutionRegistry, ExecutionOutcome } from '@ragwortrudder/claims';
import type { Outcome } from '@ragwortrudder/requests';
import type { RunPermit } from '../../types/run-permit.ts';

/** {@link RunPermit} for an issued key that names this incarnation as its executor. */
export class IssuedPermit implements RunPermit {
  readonly #executions: ExecutionRegistry;
  readonly #key: string;

  constructor(executions: ExecutionRegistry, key: string) {
    this.#executions = executions;
    this.#key = key;
  }

  begin(): Promise<Outcome | undefined> {
    this.#executions.startSending(this.#key);
    return Promise.resolve(undefined);
  }

  finish(outcome: ExecutionOutcome, result?: unknown): Promise<void> {
    this.#executions.finish(this.#key, outcome, result);
    return Promise.resolve();
  }

  giveUp(): boolean {
    return this.#executions.transferable().includes(this.#key);
  }
}
