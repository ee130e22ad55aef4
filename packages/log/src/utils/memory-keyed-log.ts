import { AppendConflict } from '../errors/append-conflict.ts';
import { LogExpired } from '../errors/log-expired.ts';
import { LogUnavailable } from '../errors/log-unavailable.ts';
import type { KeyedAppend } from '../types/keyed-append.ts';
import type { KeyedLog } from '../types/keyed-log.ts';
import type { KeyedPage } from '../types/keyed-page.ts';
import type { KeyedRead } from '../types/keyed-read.ts';
import type { KeyedRecord } from '../types/keyed-record.ts';

interface Topic {
  readonly records: readonly KeyedRecord[];
  /** Oldest offset from which the history can still be read. */
  readonly first: number;
}

const EMPTY_TOPIC: Topic = { records: [], first: 0 };
const POLL_MS = 5;

/** In-memory {@link KeyedLog} with fault injection, for tests. */
export class MemoryKeyedLog implements KeyedLog {
  readonly #topics = new Map<string, Topic>();
  #era = 0;
  #isDown = false;
  #repliesToLose = 0;

  get era(): number {
    return this.#era;
  }

  /** Makes all calls fail while `isDown` is true. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  /** Makes the next `count` appends take effect but lose their replies. */
  loseReplies(count: number): void {
    this.#repliesToLose = count;
  }

  /** Current content, to restore the log from later. */
  copy(): ReadonlyMap<string, Topic> {
    return new Map(this.#topics);
  }

  /** Replaces the content by an older copy and starts a new era: newer records are lost. */
  restore(copy: ReadonlyMap<string, Topic>): void {
    this.#era += 1;
    this.#topics.clear();
    for (const [name, topic] of copy) this.#topics.set(name, topic);
  }

  /** Drops the history of a topic; the newest record of each key remains. */
  dropHistory(topic: string): void {
    const { records } = this.#topicOf(topic);
    this.#topics.set(topic, { records, first: records.length });
  }

  async newest(topic: string): Promise<KeyedPage> {
    await this.#checkAvailable();
    const { records } = this.#topicOf(topic);
    const byKey = new Map(records.map((record) => [record.key, record]));
    const newest = [...byKey.values()].filter(({ value }) => value !== undefined);
    return { records: newest, next: records.length, era: this.#era };
  }

  async read({ topic, from, waitMs }: KeyedRead): Promise<KeyedPage> {
    for (let waitedMs = 0; ; waitedMs += POLL_MS) {
      await this.#checkAvailable();
      const { records, first } = this.#topicOf(topic);
      if (from < first || from > records.length) throw new LogExpired(first, records.length);
      if (records.length > from || waitedMs >= waitMs) {
        return { records: records.slice(from), next: records.length, era: this.#era };
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  async append({ topic, key, value, at, era }: KeyedAppend): Promise<number> {
    await this.#checkAvailable();
    const { records, first } = this.#topicOf(topic);
    if ((at !== undefined && at !== records.length) || (era ?? this.#era) !== this.#era)
      throw new AppendConflict(topic, at ?? 0);
    const record = { key, value, offset: records.length };
    this.#topics.set(topic, { records: [...records, record], first });
    if (this.#repliesToLose > 0) {
      this.#repliesToLose -= 1;
      throw new LogUnavailable('the reply was lost');
    }
    return record.offset;
  }

  #topicOf(name: string): Topic {
    return this.#topics.get(name) ?? EMPTY_TOPIC;
  }

  #checkAvailable(): Promise<void> {
    if (this.#isDown)
      return Promise.reject(new LogUnavailable('the log is down', { notRun: true }));
    return Promise.resolve();
  }
}
