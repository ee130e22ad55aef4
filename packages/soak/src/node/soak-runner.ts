import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { resetConnection } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { freeAddresses, omitFraming, parseAddress, receiveBody } from '@ragwortrudder/standins';
import type { RunnerMode } from '../types/runner-mode.ts';
import type { ObservedRun } from '../types/observed-run.ts';
import { SPOILT_RESPONSES } from '../utils/spoilt-responses.ts';
import { streamText } from '../utils/stream-text.ts';

interface SoakRunnerOptions {
  readonly id: string;
  readonly onRun: (run: ObservedRun) => void;
  /** Called when a request arrives while the runner rests. */
  readonly onDisturbed: (runner: string) => void;
  /** Called when the runner runs a request that crashes it, with the prompt part or path that does. */
  readonly onCrash: (cause: string) => void;
}

const HTTP_OK = 200;
const HTTP_NO_CONTENT = 204;
const HTTP_MISDIRECTED = 421;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;
const MS_PER_S = 1_000;
const SLOTS = 32;
const LATENCY_MS = 40;
const EVENT_INTERVAL_MS = 20;
/** Parts of prompts that crash a runner when it begins to respond. */
const CRASHING_PART = /bad[0-9a-f]+/;
/** Paths of requests that crash a runner before it responds. */
const CRASHING_PATH = /crash\d+/;
/** Event inside which a runner breaks a stream off. */
const BROKEN_EVENT = 3;
/** Modes in which responses have neither a length nor chunks and end with their connection. */
const UNFRAMED_MODES: ReadonlySet<RunnerMode> = new Set(['unframed', 'cut', 'reset']);
/** Modes in which streams break off inside an event. */
const BREAKING_MODES: ReadonlySet<RunnerMode> = new Set(['break-off', 'cut', 'reset']);
/** Modes in which streams break off inside an event, and those that go on are answered wrongly. */
const RESUMPTION_MODES: ReadonlySet<RunnerMode> = new Set([
  'restart',
  'fail-resumed',
  'empty-resumed',
]);
/** Times between a part of an early response and the reset of its connection, in milliseconds. */
const RESET_DELAYS_MS = [0, 5, 50];
/** Status codes, as they stand in a status line, of which none is that of a final response. */
const INVALID_STATUSES = ['000', '099', '600', '999'];
const SPOILT = Object.values(SPOILT_RESPONSES);
/** Time after which a refusal is repeated on a connection that is idle, in milliseconds. */
const REPEAT_MS = 20;

/** Runner whose responses are derived from the request, and that records every request it executes. */
export class SoakRunner implements Closeable {
  readonly #options: SoakRunnerOptions;
  #server: Server;
  /** Kept over restarts, and out of the reach of outgoing connections meanwhile. */
  #address: string | undefined;
  #running = 0;
  #mode: RunnerMode = 'sound';
  #breaks = 0;
  #invalidStatuses = 0;
  #spoiltHeads = 0;
  /** Requests per second that the runner states that it accepts. */
  #limit: number | undefined;
  #isLeaving = false;
  /** Until when the runner turns requests away and asks for rest. */
  #restsUntil = 0;
  /** Until when the runner is silent on all connections, and does not work. */
  #silentUntil = 0;
  #refusals = 0;
  /** Refusals to be written once more, by their connections. */
  readonly #repeatedRefusals = new WeakMap<Socket, string>();
  readonly #busySockets = new WeakSet<Socket>();
  readonly #unframedStreams = new Set<ServerResponse>();
  #intercept: ((request: IncomingMessage) => void) | undefined;

  constructor(options: SoakRunnerOptions) {
    this.#options = options;
    this.#server = this.#createServer();
  }

  get id(): string {
    return this.#options.id;
  }

  get address(): string {
    return this.#address ?? '';
  }

  setMode(mode: RunnerMode): void {
    this.#mode = mode;
  }

  /** Lets `answer` handle further requests in place of the runner; undefined ends it. */
  intercept(answer: ((request: IncomingMessage) => void) | undefined): void {
    this.#intercept = answer;
  }

  setLimit(perSecond: number | undefined): void {
    this.#limit = perSecond;
  }

  /** Says in each response whether it is leaving. */
  setLeaving(isLeaving: boolean): void {
    this.#isLeaving = isLeaving;
  }

  /** Turns requests away for a time and asks for rest meanwhile. */
  rest(forMs: number): void {
    this.#restsUntil = performance.now() + forMs;
  }

  /** Stands still for a time, and then goes on. Its connections are paused by a relay. */
  fallSilent(forMs: number): void {
    this.#silentUntil = performance.now() + forMs;
  }

  async listen(): Promise<void> {
    this.#address ??= (await freeAddresses(1))[0];
    const { host, port } = parseAddress(this.address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Closes all connections and refuses new ones, like a process that has exited. */
  async close(): Promise<void> {
    const server = this.#server;
    this.#server = this.#createServer();
    // Without framing, only the end inside an event shows that a stream was broken off.
    for (const { socket } of this.#unframedStreams) socket?.write('id: ');
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }

  #createServer(): Server {
    return createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => undefined);
    const id = String(request.headers['request-id'] ?? '');
    if (this.#mode === 'early-reset' && request.headers['target-instance'] === this.id) {
      this.#answerEarly(request, response, id);
      return;
    }
    const body = await receiveBody(request);
    if (!body) return;
    response.setHeader('Request-Id', id);
    if (this.#limit !== undefined) response.setHeader('Server-Limit', String(this.#limit));
    if (this.#isLeaving) response.setHeader('Server-Leaving', '1');
    if (request.headers['target-instance'] !== this.id) {
      response.writeHead(HTTP_MISDIRECTED, { 'Not-Executed': '1' });
      response.end();
      return;
    }
    const restMs = this.#restsUntil - performance.now();
    if (restMs > 0) {
      this.#options.onDisturbed(this.id);
      const retryAfter = (restMs / MS_PER_S).toFixed(2);
      response.writeHead(HTTP_UNAVAILABLE, { 'Not-Executed': '1', 'Retry-After': retryAfter });
      response.end();
      return;
    }
    if (this.#running >= SLOTS) {
      response.writeHead(HTTP_UNAVAILABLE, { 'Not-Executed': '1' });
      response.end();
      return;
    }
    if (this.#mode === 'repeats-refusal' && this.#repeatRefusal(response, id)) return;
    const after = this.#recordRun(request, id, body.toString());
    if (this.#intercept) {
      this.#intercept(request);
      return;
    }
    response.setHeader('Response-Signature', `${this.id}.${id}`);
    this.#running += 1;
    this.#busySockets.add(request.socket);
    try {
      await this.#answer(request, response, { id, after });
    } finally {
      this.#running -= 1;
      this.#busySockets.delete(request.socket);
    }
  }

  /** Records that the request is executed, and returns the event after which its stream resumes. */
  #recordRun(request: IncomingMessage, id: string, body: string | undefined): number {
    const after = Number(request.headers['last-event-id'] ?? 0);
    const team = request.headers.tenant;
    this.#options.onRun({
      id,
      runner: this.id,
      team: typeof team === 'string' ? team : undefined,
      body,
      after,
      at: performance.now(),
    });
    return after;
  }

  /** Answers while the request is being sent, with a part of the response, and resets the connection. */
  #answerEarly(request: IncomingMessage, response: ServerResponse, id: string): void {
    const after = this.#recordRun(request, id, undefined);
    const events = eventsOf(request);
    response.setHeader('Request-Id', id);
    response.setHeader('Response-Signature', `${this.id}.${id}`);
    omitFraming(response);
    response.writeHead(HTTP_OK, events > 0 ? { 'Content-Type': 'text/event-stream' } : {});
    const text = events > 0 ? streamText(id, after + 1, events) : `done ${id}`;
    this.#breakOff(response, text, 'early-reset');
  }

  /** Answers with a status that HTTP does not define; Node.js would not write some of them. */
  #answerInvalid(request: IncomingMessage, id: string): void {
    const status = INVALID_STATUSES[this.#invalidStatuses % INVALID_STATUSES.length] ?? '';
    this.#invalidStatuses += 1;
    const text = `done ${id}`;
    const type = eventsOf(request) > 0 ? 'Content-Type: text/event-stream\r\n' : '';
    const identity = `Request-Id: ${id}\r\nResponse-Signature: ${this.id}.${id}\r\n`;
    const head = `HTTP/1.1 ${status} Invalid\r\n${identity}${type}`;
    request.socket.end(`${head}Content-Length: ${text.length}\r\n\r\n${text}`);
  }

  /** Answers with another spoilt head each time. */
  #answerSpoilt(request: IncomingMessage, id: string, after: number): void {
    const write = SPOILT[this.#spoiltHeads % SPOILT.length];
    this.#spoiltHeads += 1;
    const count = eventsOf(request);
    const events = Array.from({ length: count }, (_item, index) => index + 1).slice(after);
    const body =
      count > 0 ? events.map((event) => streamText(id, event, count)).join('') : `done ${id}`;
    const type = count > 0 ? 'text/event-stream' : 'text/plain';
    const identity = `Request-Id: ${id}\r\nResponse-Signature: ${this.id}.${id}\r\n`;
    const text = write?.({ fields: `${identity}Content-Type: ${type}\r\n`, body }) ?? '';
    request.socket.end(Buffer.from(text, 'latin1'));
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
    { id, after }: { readonly id: string; readonly after: number },
  ): Promise<void> {
    const mode = this.#mode;
    if (mode === 'mute') return;
    const events = eventsOf(request);
    await sleep(LATENCY_MS);
    await this.#silence();
    if (response.destroyed) return;
    this.#writeRefusalAgain(request.socket);
    const crashingPath = CRASHING_PATH.exec(request.url ?? '')?.[0];
    if (crashingPath !== undefined) {
      this.#options.onCrash(crashingPath);
      return;
    }
    if (mode === 'errors') {
      response.writeHead(HTTP_SERVER_ERROR);
      response.end('failed');
      return;
    }
    if (mode === 'invalid-status') {
      this.#answerInvalid(request, id);
      return;
    }
    if (mode === 'spoilt-head') {
      this.#answerSpoilt(request, id, after);
      return;
    }
    response.setHeader('Server-Load', `${this.#running},0,${SLOTS}`);
    if (UNFRAMED_MODES.has(mode)) omitFraming(response);
    if (events === 0) {
      this.#answerWhole(response, `done ${id}`, mode);
      return;
    }
    if (after > 0 && (mode === 'fail-resumed' || mode === 'empty-resumed')) {
      response.writeHead(mode === 'fail-resumed' ? HTTP_SERVER_ERROR : HTTP_NO_CONTENT);
      response.end(mode === 'fail-resumed' ? 'failed' : undefined);
      return;
    }
    response.writeHead(HTTP_OK, { 'Content-Type': 'text/event-stream' });
    if (UNFRAMED_MODES.has(mode)) this.#trackUnframed(response);
    const crashingPart = CRASHING_PART.exec(String(request.headers['prompt-prefix']))?.[0];
    if (crashingPart !== undefined) {
      response.flushHeaders();
      await sleep(EVENT_INTERVAL_MS);
      this.#options.onCrash(crashingPart);
      return;
    }
    const isBreaking = BREAKING_MODES.has(mode) || (after === 0 && RESUMPTION_MODES.has(mode));
    const first = mode === 'restart' ? 1 : after + 1;
    for (let event = first; event <= events; event += 1) {
      await this.#silence();
      if (response.closed) return;
      const text = streamText(id, event, events);
      if (isBreaking && event === BROKEN_EVENT) {
        this.#breakOff(response, text, mode);
        return;
      }
      response.write(text);
      await sleep(EVENT_INTERVAL_MS);
    }
    response.end();
  }

  async #silence(): Promise<void> {
    const waitMs = this.#silentUntil - performance.now();
    if (waitMs > 0) await sleep(waitMs);
  }

  /** Turns every second request away; its refusal comes once more while idle, or before the next response. */
  #repeatRefusal(response: ServerResponse, id: string): boolean {
    this.#refusals += 1;
    const { socket } = response;
    if (this.#refusals % 2 === 0 || !socket) return false;
    response.writeHead(HTTP_UNAVAILABLE, { 'Not-Executed': '1', 'Content-Length': '0' });
    response.end();
    const head = `HTTP/1.1 ${HTTP_UNAVAILABLE} Service Unavailable\r\nRequest-Id: ${id}`;
    this.#repeatedRefusals.set(socket, `${head}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
    setTimeout(() => {
      if (!this.#busySockets.has(socket)) this.#writeRefusalAgain(socket);
    }, REPEAT_MS);
    return true;
  }

  #writeRefusalAgain(socket: Socket): void {
    const refusal = this.#repeatedRefusals.get(socket);
    if (refusal === undefined) return;
    this.#repeatedRefusals.delete(socket);
    if (socket.writable) socket.write(refusal);
  }

  #trackUnframed(response: ServerResponse): void {
    this.#unframedStreams.add(response);
    response.once('close', () => this.#unframedStreams.delete(response));
    response.once('finish', () => this.#unframedStreams.delete(response));
  }

  /** Answers a request that is not a stream. An orderly close without framing would be its end. */
  #answerWhole(response: ServerResponse, text: string, mode: RunnerMode): void {
    if (mode === 'break-off' || mode === 'cut') {
      response.socket?.destroy();
      return;
    }
    response.writeHead(HTTP_OK);
    if (mode === 'reset') this.#breakOff(response, text, mode);
    else response.end(text);
  }

  /** Sends a part of `text`, a longer one each time, and ends the connection. */
  #breakOff(response: ServerResponse, text: string, mode: RunnerMode): void {
    const { socket } = response;
    this.#breaks += 1;
    const part = text.slice(0, 1 + (this.#breaks % (text.length - 1)));
    response.write(part, () => {
      if (!socket) return;
      if (mode === 'early-reset') {
        const delayMs = RESET_DELAYS_MS[this.#breaks % RESET_DELAYS_MS.length];
        setTimeout(() => {
          resetConnection(socket);
        }, delayMs);
      } else if (mode === 'reset') resetConnection(socket);
      else socket.destroySoon();
    });
  }
}

/** Number of events of the stream that is asked for; 0 if it is none. */
function eventsOf(request: IncomingMessage): number {
  return Number(new URL(request.url ?? '/', 'http://runner').searchParams.get('events'));
}
