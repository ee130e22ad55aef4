import type { KeyedAppend, KeyedLog } from '@ragwortrudder/log';

/** Log that loses the replies to some appends, which are carried out later if their condition still holds. */
export class LateLog implements KeyedLog {
  readonly #log: KeyedLog;
  readonly #isLate: (record: KeyedAppend) => boolean;
  #late: readonly KeyedAppend[] = [];

  constructor(log: KeyedLog, isLate: (record: KeyedAppend) => boolean) {
    this.#log = log;
    this.#isLate = isLate;
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

  append(record: KeyedAppend): Promise<number> {
    if (!this.#isLate(record)) return this.#log.append(record);
    this.#late = [...this.#late, record];
    return Promise.reject(new Error('the reply was lost'));
  }

  /** Carries out the appends whose replies were lost. */
  async finish(): Promise<void> {
    const late = this.#late;
    this.#late = [];
    for (const record of late) await this.#log.append(record).catch(() => undefined);
  }
}
