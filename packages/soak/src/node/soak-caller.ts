import { Agent, request as sendRequest } from 'node:http';
import type { ClientRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { invalidResponseReason, isParseError } from '@ragwortrudder/core';
import type { Closeable, Random } from '@ragwortrudder/core';
import type { CrashCause } from '../types/crash-cause.ts';
import type { RequestKind } from '../types/request-kind.ts';
import type { SentRequest } from '../types/sent-request.ts';
import type { RequestTracker } from '../utils/request-tracker.ts';
import { DEADLINE_MS } from '../utils/deadline-ms.ts';

/** A node and the address at which callers reach it. */
interface CallerTarget {
  readonly id: string;
  readonly address: string;
}

interface SoakCallerOptions extends CrashCause {
  readonly name: string;
  readonly nodes: readonly CallerTarget[];
  readonly team: string;
  readonly apiKey: string;
  readonly tracker: RequestTracker;
  readonly random: Random;
  /**
   * Sends only requests with a body, which arrives in pieces.
   * @default false
   */
  readonly isSlow?: boolean;
  /**
   * Sends only requests with a body, which is a long one.
   * @default false
   */
  readonly isUploading?: boolean;
}

const KINDS: readonly RequestKind[] = ['order', 'read', 'draft', 'ask'];
const KINDS_WITH_BODY: readonly RequestKind[] = ['order', 'draft', 'ask'];
/** Time that a caller waits beyond the deadline before it gives up, in milliseconds. */
const GIVE_UP_MARGIN_MS = 1_500;
const MAX_PAUSE_MS = 120;
/** Size of a long body, which the buffers of a connection do not hold, and the pause after its request. */
const UPLOAD_BYTES = 4 * 1024 * 1024;
const UPLOAD_PAUSE_MS = 500;
/** Number of prompt parts that some of the requests share. */
const SHARED_PARTS = 9;
const MIN_EVENTS = 5;
const EXTRA_EVENTS = 30;
/** Pieces of a body that arrives slowly, and the pauses between them in milliseconds. */
const SLOW_PIECES = 5;
const MIN_PIECE_GAP_MS = 100;
const MAX_PIECE_GAP_MS = 300;

/** Caller that sends requests one at a time over keep-alive connections. */
export class SoakCaller implements Closeable {
  readonly #options: SoakCallerOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #count = 0;
  #isClosing = false;
  #running: Promise<void> = Promise.resolve();

  constructor(options: SoakCallerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#running = this.#sendRequests();
  }

  /** Stops once the request in progress has finished. */
  async close(): Promise<void> {
    this.#isClosing = true;
    await this.#running;
    this.#agent.destroy();
  }

  async #sendRequests(): Promise<void> {
    const { random, nodes, crashingPart, crashingPath } = this.#options;
    const { isSlow = false, isUploading = false } = this.#options;
    const kinds = isSlow || isUploading ? KINDS_WITH_BODY : KINDS;
    while (!this.#isClosing) {
      const node = nodes[Math.floor(random.next() * nodes.length)];
      const drawn = kinds[Math.floor(random.next() * kinds.length)];
      const kind = crashingPath ? 'read' : crashingPart ? 'ask' : drawn;
      if (node && kind) await this.#send(node, kind);
      await sleep(isUploading ? UPLOAD_PAUSE_MS : random.next() * MAX_PAUSE_MS);
    }
  }

  /** Prompt of parts that are shared by all, by some, and by no other requests. */
  #prompt(): string {
    const { crashingPart = `c${this.#count % SHARED_PARTS}` } = this.#options;
    return `c0ffee:100,${crashingPart}:50,${this.#count.toString(16)}:10`;
  }

  #body(): string {
    const { name, isUploading = false } = this.#options;
    const text = `body of ${name}-${this.#count}`;
    return isUploading ? text.padEnd(UPLOAD_BYTES, '.') : text;
  }

  #send(node: CallerTarget, kind: RequestKind): Promise<void> {
    const { name, team, tracker, random, crashingPart, crashingPath, isSlow } = this.#options;
    const crashes = crashingPath ?? crashingPart;
    this.#count += 1;
    const isStream = kind === 'draft' || kind === 'ask';
    const request: SentRequest = {
      id: `${name}-${this.#count}`,
      kind,
      node: node.id,
      team,
      body: kind === 'read' ? '' : this.#body(),
      events: isStream ? MIN_EVENTS + Math.floor(random.next() * EXTRA_EVENTS) : 0,
      ...(crashes === undefined ? {} : { crashes }),
      ...(isSlow === undefined ? {} : { isSlow }),
      at: performance.now(),
    };
    tracker.recordRequest(request);
    return this.#sendAndReceive(node, request);
  }

  #sendAndReceive(node: CallerTarget, { id, kind, body, events }: SentRequest): Promise<void> {
    const { apiKey, tracker, crashingPath = 'x', isSlow = false } = this.#options;
    return new Promise((resolve) => {
      let status: number | undefined;
      let signature: string | undefined;
      const chunks: Buffer[] = [];
      let isFinished = false;
      const finish = (isWhole: boolean, error?: string): void => {
        if (isFinished) return;
        isFinished = true;
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString();
        const at = performance.now();
        tracker.recordAnswer({
          id,
          status,
          signature,
          body: text,
          isWhole,
          error,
          isReused: client.reusedSocket,
          at,
        });
        resolve();
      };
      const recordInvalid = (reason: string): void => {
        tracker.recordViolation('valid-response', `${node.id} answered ${id}: ${reason}`);
      };
      const client = sendRequest({
        host: node.address.split(':')[0],
        port: node.address.split(':')[1],
        agent: this.#agent,
        method: kind === 'read' ? 'GET' : 'POST',
        path: `/${kind}/${crashingPath}${events > 0 ? `?events=${events}` : ''}`,
        headers: {
          Host: 'soak.example',
          'Request-Id': id,
          'X-Api-Key': apiKey,
          'Deadline-Ms': String(DEADLINE_MS),
          ...(events > 0 ? { 'Prompt-Prefix': this.#prompt() } : {}),
          ...(body === '' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
        },
      });
      const timer = setTimeout(() => {
        client.destroy();
        finish(false);
      }, DEADLINE_MS + GIVE_UP_MARGIN_MS);
      client.on('error', (error: NodeJS.ErrnoException) => {
        if (isParseError(error)) recordInvalid(error.message);
        finish(false, error.code);
      });
      client.on('response', (response) => {
        status = response.statusCode;
        const invalidReason = invalidResponseReason(response);
        if (invalidReason !== undefined) recordInvalid(invalidReason);
        const header = response.headers['response-signature'];
        signature = typeof header === 'string' ? header : undefined;
        if (response.headers['server-leaving'] !== undefined && signature !== undefined) {
          tracker.recordToldLeaving(node.id, signature.split('.')[0] ?? '');
        }
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          finish(response.complete);
        });
      });
      if (isSlow) void this.#sendSlowly(client, body, () => isFinished);
      else client.end(body === '' ? undefined : body);
    });
  }

  /** Sends a body in pieces, until its request has ended. */
  async #sendSlowly(client: ClientRequest, body: string, isFinished: () => boolean): Promise<void> {
    const { random } = this.#options;
    const startOf = (piece: number): number => Math.floor((piece * body.length) / SLOW_PIECES);
    for (let piece = 0; piece < SLOW_PIECES; piece += 1) {
      client.write(body.slice(startOf(piece), startOf(piece + 1)));
      await sleep(MIN_PIECE_GAP_MS + random.next() * (MAX_PIECE_GAP_MS - MIN_PIECE_GAP_MS));
      if (!isFinished()) continue;
      client.destroy();
      return;
    }
    client.end();
  }
}
