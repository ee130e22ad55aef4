import type { Writable } from 'node:stream';
import { ProcessorMeter } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { reasonOf } from '../utils/reason-of.ts';
import { RejectionLimiter } from '../utils/rejection-limiter.ts';

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Something that others have written and that this node does not use. */
interface RejectedInput {
  readonly topic: string;
  readonly key: string;
  readonly cause: string;
}

interface DecisionLogOptions {
  readonly node: string;
  readonly out: Writable;
  readonly clock: Clock;
  /**
   * Measures what the lines cost.
   * @default a meter that nobody reads
   */
  readonly processor?: Pick<ProcessorMeter, 'measure'>;
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
/** Characters of a key that are logged. */
const MAX_KEY_LENGTH = 64;

/**
 * Writes a structured log line for each decision that affects a request or changes the state of the
 * node. It never blocks on a slow reader: lines above the limits are dropped, those about served
 * requests first, and the number of dropped lines is logged once lines can be written again.
 */
export class DecisionLog {
  readonly #options: DecisionLogOptions;
  readonly #rejections: RejectionLimiter;
  readonly #processor: Pick<ProcessorMeter, 'measure'>;
  #second = 0;
  #lines = 0;
  #dropped = 0;

  constructor(options: DecisionLogOptions) {
    this.#options = options;
    this.#processor = options.processor ?? new ProcessorMeter();
    this.#rejections = new RejectionLimiter(options.clock);
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

  /** Writes a line about a rejected record or message, once for each key and cause. */
  rejected({ topic, key, cause }: RejectedInput): void {
    if (!this.#rejections.mustLog(`${topic} ${key}`, cause)) return;
    this.notable('record-rejected', { topic, key: key.slice(0, MAX_KEY_LENGTH), cause });
  }

  /** Records that a key now has a sound record, so that its next rejection is logged again. */
  accepted(topic: string, key: string): void {
    this.#rejections.recordSound(`${topic} ${key}`);
  }

  /** Handler of the failures of a task that runs beside the requests. */
  onTaskFailure(task: string): (error: unknown) => void {
    return (error) => {
      this.notable('task-failed', { task, reason: reasonOf(error) });
    };
  }

  #write(event: string, fields: Fields, limitBytes: number, linesPerS: number): void {
    this.#processor.measure('log', () => {
      this.#writeLine(event, fields, limitBytes, linesPerS);
    });
  }

  #writeLine(event: string, fields: Fields, limitBytes: number, linesPerS: number): void {
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
