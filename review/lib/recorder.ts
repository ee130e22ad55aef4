import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
export class Recorder {
  readonly #out: WriteStream;
  readonly #startedAt = performance.now();

  constructor(path: string) {
    this.#out = createWriteStream(path);
  }

  get nowMs(): number {
    return performance.now() - this.#startedAt;
  }

  add(...words: readonly (string | number)[]): void {
    this.#out.write(`${this.nowMs.toFixed(0).padStart(7)} ${words.join(' ')}\n`);
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#out.end(resolve);
    });
  }
}
