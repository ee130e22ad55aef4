import type { Writable } from 'node:stream';
import type { Clock } from '@ragwortrudder/core';

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

interface DecisionLogOptions {
  readonly node: string;
  readonly out: Writable;
  readonly clock: Clock;
}

/** Buffered bytes above which lines about served requests are dropped. */
const ROUTINE_LIMIT_BYTES = 64 * 1024;
/** Buffered bytes above which all lines are dropped. */
const HARD_LIMIT_BYTES = 256 * 1024;
/** Lines per second above which lines about served requests are dropped. */
const ROUTINE_LINES_PER_S = 200;
/** Lines per second above which all lines are dropped. */
const HARD_LINES_PER_S = 1_000;
const MS_PER_S = 1_000;

/**
 * Writes a structured log line for each decision that affects a request or changes the state of the
 * node. It never blocks on a slow reader: lines above the limits are dropped, those about served
 * requests first, and the number of dropped lines is logged once lines can be written again.
 */
export class DecisionLog {
  readonly #options: DecisionLogOptions;
  #second = 0;
  #lines = 0;
  #dropped = 0;

  constructor(options: DecisionLogOptions) {
    this.#options = options;
  }

  /** Number of lines dropped since the last `lines-dropped` line. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line about a served request; such lines are dropped first. */
  routine(event: string, fields: Fields): void {
    this.#write(event, fields, ROUTINE_LIMIT_BYTES, ROUTINE_LINES_PER_S);
  }

  /** Writes a line about a failure or a change in the state of the node. */
  notable(event: string, fields: Fields): void {
    this.#write(event, fields, HARD_LIMIT_BYTES, HARD_LINES_PER_S);
  }

  #write(event: string, fields: Fields, limitBytes: number, linesPerS: number): void {
    const { out, clock, node } = this.#options;
    const second = Math.floor(clock.monotonic() / MS_PER_S);
    if (second !== this.#second) {
      this.#second = second;
      this.#lines = 0;
    }
    if (out.writableLength > limitBytes || this.#lines >= linesPerS) {
      this.#dropped += 1;
      return;
    }
    this.#lines += 1;
    const time = clock.wall();
    if (this.#dropped > 0) {
      const dropped = this.#dropped;
      this.#dropped = 0;
      out.write(`${JSON.stringify({ time, node, event: 'lines-dropped', dropped })}\n`);
    }
    out.write(`${JSON.stringify({ time, node, event, ...fields })}\n`);
  }
}
