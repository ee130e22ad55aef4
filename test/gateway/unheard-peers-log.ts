import type { KeyedLog } from '@ragwortrudder/log';

const NODE_TOPIC = 'nodes';
/** Nothing listens there. */
const UNHEARD_PORT = 9;

/** A shared log in which one node finds the others at addresses at which they do not hear it. */
export class UnheardPeersLog implements KeyedLog {
  readonly #log: KeyedLog;
  readonly #node: string;

  constructor(log: KeyedLog, node: string) {
    this.#log = log;
    this.#node = node;
  }

  get era(): number {
    return this.#log.era;
  }

  async newest(topic: string): ReturnType<KeyedLog['newest']> {
    const page = await this.#log.newest(topic);
    if (topic !== NODE_TOPIC) return page;
    return { ...page, records: page.records.map((record) => this.#moved(record)) };
  }

  read(range: Parameters<KeyedLog['read']>[0]): ReturnType<KeyedLog['read']> {
    return this.#log.read(range);
  }

  append(record: Parameters<KeyedLog['append']>[0]): Promise<number> {
    return this.#log.append(record);
  }

  #moved<T extends { readonly key: string; readonly value?: Uint8Array | undefined }>(
    record: T,
  ): T {
    if (record.key === this.#node || !record.value) return record;
    const entry = JSON.parse(Buffer.from(record.value).toString()) as object;
    return { ...record, value: Buffer.from(JSON.stringify({ ...entry, port: UNHEARD_PORT })) };
  }
}
