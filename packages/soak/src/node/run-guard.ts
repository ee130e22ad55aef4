import { setMaxListeners } from 'node:events';
import type { Closeable } from '@ragwortrudder/core';
import { InterruptedRun } from '../errors/interrupted-run.ts';

const SIGNALS: readonly NodeJS.Signals[] = ['SIGHUP', 'SIGINT', 'SIGTERM'];

/** Ends a run early on a signal to this process or an error that nothing else handles. */
export class RunGuard implements Closeable {
  readonly #controller = new AbortController();
  readonly #ended: Promise<never>;
  #end: (error: unknown) => void = () => undefined;

  constructor() {
    // Each fault that has not begun waits for it.
    setMaxListeners(0, this.#controller.signal);
    this.#ended = new Promise((_resolve, reject) => {
      this.#end = reject;
    });
    // The rejection is meant for those who wait in `watch`, if any.
    this.#ended.catch(() => undefined);
    process.on('uncaughtException', this.end);
    process.on('unhandledRejection', this.end);
    for (const signal of SIGNALS) process.on(signal, this.#interrupt);
  }

  /** Aborted when the run ends early. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Ends the run; the first error is the one that counts. */
  readonly end = (error: unknown): void => {
    this.#end(error);
    this.#controller.abort(error);
  };

  /** Resolves like `work`, or rejects when the run ends early. */
  watch<Value>(work: Promise<Value>): Promise<Value> {
    return Promise.race([work, this.#ended]);
  }

  close(): Promise<void> {
    process.off('uncaughtException', this.end);
    process.off('unhandledRejection', this.end);
    for (const signal of SIGNALS) process.off(signal, this.#interrupt);
    return Promise.resolve();
  }

  readonly #interrupt = (signal: NodeJS.Signals): void => {
    this.end(new InterruptedRun(signal));
  };
}
