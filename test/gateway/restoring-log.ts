import type { KeyedLog, MemoryKeyedLog } from '@ragwortrudder/log';

/** Log that is restored from a copy of its start right after an append to a topic. */
export class RestoringLog implements KeyedLog {
  readonly #log: MemoryKeyedLog;
  readonly #copy: ReturnType<MemoryKeyedLog['copy']>;
  #topic: string | undefined;

  constructor(log: MemoryKeyedLog) {
    this.#log = log;
    this.#copy = log.copy();
  }

  /** Restores the log once, after the next append to a topic and before the caller goes on. */
  restoreAfterAppendTo(topic: string): void {
    this.#topic = topic;
  }

  get era(): number {
    return this.#log.era;
  }

  newest(topic: string): ReturnType<KeyedLog['newest']> {
    return this.#log.newest(topic);
  }

  read(range: Parameters<KeyedLog['read']>[0]): ReturnType<KeyedLog['read']> {
    return this.#log.read(range);
  }

  async append(record: Parameters<KeyedLog['append']>[0]): Promise<number> {
    const offset = await this.#log.append(record);
    if (record.topic === this.#topic) {
      this.#topic = undefined;
      this.#log.restore(this.#copy);
    }
    return offset;
  }
}
