import type { Failure } from '@ragwortrudder/core';
import type { Position } from '../types/position.ts';

interface WrittenEntry {
  readonly id: string;
  readonly body: unknown;
}

/** A write that has not been read back yet. */
export class PendingWrite {
  readonly entry: WrittenEntry;
  /** Size of the entry in bytes of JSON. */
  readonly bytes: number;
  readonly promise: Promise<Position>;
  /** True when an append with the entry was sent and is not known to have had no effect. */
  mayTakeEffect = false;
  #isSettled = false;
  #timer: NodeJS.Timeout | undefined;
  #resolve: (position: Position) => void = () => undefined;
  #reject: (failure: Failure) => void = () => undefined;

  constructor(entry: WrittenEntry) {
    this.entry = entry;
    this.bytes = Buffer.byteLength(JSON.stringify(entry));
    this.promise = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  get isSettled(): boolean {
    return this.#isSettled;
  }

  startTimer(ms: number, onTimeout: () => void): void {
    this.#timer = setTimeout(onTimeout, ms);
  }

  resolve(position: Position): void {
    this.#settle();
    this.#resolve(position);
  }

  reject(failure: Failure): void {
    this.#settle();
    this.#reject(failure);
  }

  #settle(): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
  }
}
