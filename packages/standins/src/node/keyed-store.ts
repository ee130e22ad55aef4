import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createNetServer } from 'node:net';
import type { AddressInfo, Server as NetServer } from 'node:net';
import { resetConnection } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import type { StoreFault } from '../types/store-fault.ts';
import { keyedRecord } from '../utils/keyed-record.ts';
import { receiveBody } from '../utils/receive-body.ts';

interface StoredRecord {
  readonly bytes: Buffer;
  readonly key: string;
  readonly value: Buffer;
}

/** Content of a store at one time. */
type StoreCopy = ReadonlyMap<string, StoredTopic>;

interface StoredTopic {
  readonly records: readonly StoredRecord[];
  readonly first: number;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_PRECONDITION_FAILED = 412;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const POLL_MS = 10;
const EMPTY_TOPIC: StoredTopic = { records: [], first: 0 };

/** Stand-in for the platform's store: serves keyed topics over its published protocol, with fault injection. */
export class KeyedStore implements Closeable {
  readonly #server: Server;
  readonly #topics = new Map<string, StoredTopic>();
  readonly #pageSize: number;
  /** Further addresses at which the store is reached. */
  readonly #fronts: NetServer[] = [];
  #fault: StoreFault = 'none';
  #intercept: (request: IncomingMessage, era: number) => boolean = () => false;
  #era = 1;

  constructor({ pageSize = 500 }: { readonly pageSize?: number } = {}) {
    this.#pageSize = pageSize;
    this.#server = createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  /** Opens one more address of the store, so that the calls of one client can be told by their port. */
  async addAddress(): Promise<string> {
    const front = createNetServer((socket) => this.#server.emit('connection', socket));
    this.#fronts.push(front);
    await new Promise<void>((resolve) => front.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(front.address() as AddressInfo).port}`;
  }

  /** Lets `answer` handle further calls in place of the store; it returns whether it did. */
  intercept(answer: (request: IncomingMessage, era: number) => boolean): void {
    this.#intercept = answer;
  }

  /** Sets the fault that applies to all further calls. */
  setFault(fault: StoreFault): void {
    this.#fault = fault;
  }

  /** Appends a record on behalf of an operator or runner; an omitted value deletes the key. */
  put(topic: string, key: string, value: string | undefined): void {
    this.#append(topic, [keyedRecord(key, Buffer.from(value ?? ''))]);
  }

  /** Drops the history of a topic; the newest record of each key stays available. */
  dropHistory(topic: string): void {
    const { records } = this.#topics.get(topic) ?? EMPTY_TOPIC;
    this.#topics.set(topic, { records, first: records.length });
  }

  /** Current content, to restore the store from later. */
  copy(): StoreCopy {
    return new Map(this.#topics);
  }

  /**
   * Replaces the content by an older copy and starts a new era: newer records are lost. Calls in
   * progress get no reply.
   */
  restore(copy: StoreCopy): void {
    this.#era += 1;
    this.#server.closeAllConnections();
    this.#topics.clear();
    for (const [name, topic] of copy) this.#topics.set(name, topic);
  }

  close(): Promise<void> {
    for (const front of this.#fronts) front.close();
    this.#server.closeAllConnections();
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await receiveBody(request);
    if (!body || this.#intercept(request, this.#era)) return;
    const url = new URL(request.url ?? '/', 'http://store');
    response.setHeader('Store-Era', String(this.#era));
    if (this.#fault === 'reset') {
      resetConnection(request.socket);
      return;
    }
    if (this.#fault === 'silent') return;
    if (this.#fault === 'busy' || this.#fault === 'many') {
      reply(response, this.#fault === 'busy' ? HTTP_UNAVAILABLE : HTTP_TOO_MANY_REQUESTS, {});
      return;
    }
    await this.#dispatch(url, body, request, response);
  }

  async #dispatch(
    url: URL,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const topic = url.searchParams.get('topic') ?? '';
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'GET /log-newest':
        this.#sendNewest(topic, url.searchParams.get('after') ?? '', response);
        return;
      case 'GET /log-read':
        await this.#sendRecords(topic, url.searchParams, response);
        return;
      case 'POST /log-append':
        this.#handleAppend(topic, url.searchParams.get('at'), body, request, response);
        return;
      default:
        reply(response, HTTP_NOT_FOUND, {});
    }
  }

  #sendNewest(topic: string, after: string, response: ServerResponse): void {
    const { records } = this.#topics.get(topic) ?? EMPTY_TOPIC;
    const byKey = new Map(records.map((record, offset) => [record.key, { ...record, offset }]));
    const items = [...byKey.values()]
      .filter(({ key, value }) => value.length > 0 && key > after)
      .toSorted((a, b) => (a.key < b.key ? -1 : 1));
    reply(response, HTTP_OK, {
      items: items.slice(0, this.#pageSize).map(({ key, value, offset }) => ({
        key,
        value: value.toString('base64'),
        offset,
      })),
      more_pages: items.length > this.#pageSize,
      end: records.length,
    });
  }

  async #sendRecords(
    topic: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from'));
    const deadline = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      const { records, first } = this.#topics.get(topic) ?? EMPTY_TOPIC;
      if (from < first || from > records.length) {
        reply(response, HTTP_GONE, { first });
        return;
      }
      if (records.length > from || performance.now() >= deadline) {
        const offsets = Buffer.alloc(2 * OFFSET_BYTES);
        offsets.writeBigUInt64BE(BigInt(records.length));
        offsets.writeBigUInt64BE(BigInt(first), OFFSET_BYTES);
        response.end(Buffer.concat([offsets, ...records.slice(from).map(({ bytes }) => bytes)]));
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  #handleAppend(
    topic: string,
    at: string | null,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const end = (this.#topics.get(topic) ?? EMPTY_TOPIC).records.length;
    if (at !== null && Number(at) !== end) {
      reply(response, HTTP_PRECONDITION_FAILED, { end });
      return;
    }
    const records: Buffer[] = [];
    for (let start = 0; start + LENGTH_BYTES <= body.length;) {
      const next = start + LENGTH_BYTES + body.readUInt32BE(start);
      records.push(body.subarray(start, next));
      start = next;
    }
    this.#append(topic, records);
    if (this.#fault === 'lost') {
      request.socket.destroy();
      return;
    }
    reply(response, HTTP_OK, { offset: end, end: end + records.length });
  }

  #append(topic: string, added: readonly Buffer[]): void {
    const { records, first } = this.#topics.get(topic) ?? EMPTY_TOPIC;
    const stored = added.map((bytes): StoredRecord => {
      const keyEnd = LENGTH_BYTES + 1 + (bytes[LENGTH_BYTES] ?? 0);
      return {
        bytes,
        key: bytes.subarray(LENGTH_BYTES + 1, keyEnd).toString(),
        value: bytes.subarray(keyEnd),
      };
    });
    this.#topics.set(topic, { records: [...records, ...stored], first });
  }
}

function reply(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
