import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const HTTP_GONE = 410;
const OFFSET_BYTES = 8;
/** Record with the key `a` and the value `{}`. */
const RECORD = Buffer.from('\0\0\0\x04\x01a{}');
const PAGE_BYTES = 1_000_000;
const PAGE_ITEMS = 500;
const ITEM_BYTES = 1_024;

type PageKind = 'empty' | 'full' | 'newest' | 'expired';

interface OddPages {
  readonly kind: PageKind;
  /** Newest record of each topic, by its name. */
  readonly records: Readonly<Record<string, readonly [key: string, value: string]>>;
}

/** Store whose topics have records without end; it never waits for a new one. */
export class OddPagesServer {
  calls = 0;
  readonly #server: Server;

  constructor({ kind, records }: OddPages) {
    const bytes = kind === 'full' ? repeat(RECORD, PAGE_BYTES) : Buffer.alloc(0);
    const count = bytes.length / RECORD.length;
    this.#server = createServer((request, response) => {
      this.calls += 1;
      request.resume();
      response.setHeader('Store-Era', '1');
      const url = new URL(request.url ?? '/', 'http://store');
      if (url.pathname === '/log-newest') {
        response.end(
          kind === 'newest'
            ? newestPage(this.calls)
            : wholePage(records[url.searchParams.get('topic') ?? '']),
        );
        return;
      }
      if (kind === 'newest' || kind === 'expired') {
        response.statusCode = HTTP_GONE;
        response.end('{"first":1000000}');
        return;
      }
      const head = Buffer.alloc(2 * OFFSET_BYTES);
      head.writeBigUInt64BE(BigInt(url.searchParams.get('from') ?? 0) + BigInt(count));
      response.end(Buffer.concat([head, bytes]));
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function repeat(record: Buffer, bytes: number): Buffer {
  return Buffer.concat(Array.from({ length: Math.floor(bytes / record.length) }, () => record));
}

function wholePage(record: readonly [key: string, value: string] | undefined): string {
  const [key = '', value = ''] = record ?? [];
  const item = { key, value: Buffer.from(value).toString('base64'), offset: 0 };
  return JSON.stringify({ items: record ? [item] : [], more_pages: false, end: 1 });
}

function newestPage(index: number): string {
  const value = Buffer.alloc(ITEM_BYTES, 0x78).toString('base64');
  const items = Array.from({ length: PAGE_ITEMS }, (_item, at) => {
    return { key: `${String(index).padStart(9, '0')}-${at}`, value, offset: at };
  });
  return JSON.stringify({ items, more_pages: true, end: PAGE_ITEMS });
}
