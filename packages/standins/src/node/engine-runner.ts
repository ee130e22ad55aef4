import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import * as z from 'zod';
import { EngineFault } from '../types/engine-fault.ts';
import type { EngineOptions } from '../types/engine-options.ts';
import type { EngineStats } from '../types/engine-stats.ts';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import { BatchScheduler } from '../utils/batch-scheduler.ts';
import { CacheEvents } from '../utils/cache-events.ts';
import { conditionHolds } from '../utils/condition-holds.ts';
import { LaggingValue } from '../utils/lagging-value.ts';
import { PrefixCache } from '../utils/prefix-cache.ts';
import { Sequence } from '../utils/sequence.ts';
import { HttpServer } from './http-server.ts';
import { OrderHandler } from './order-handler.ts';
import { parseBody } from './parse-body.ts';
import { runnerAddress } from './runner-address.ts';
import { TokenStream } from './token-stream.ts';

interface Load {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  readonly kvUsed: number;
}

type Counts = Omit<EngineStats, 'runner' | 'runs'>;

const MAX_KV_CACHES = 64;
const MAX_CATCH_UP_MS = 10;
const DEFAULT_CACHE_BLOCKS = 1024;
const generationSchema = z.object({
  requestId: z.string().min(1),
  prompt: z.string(),
  generated: z.array(z.string()).default([]),
  maxTokens: z.number().int().positive(),
  priority: z.number().default(0),
});
const kvCacheSchema = z.object({ requestId: z.string().min(1), tokens: z.array(z.string()) });

function commonPrefixLength(a: readonly string[], b: readonly string[]): number {
  const firstDifference = a.findIndex((word, index) => word !== b[index]);
  return firstDifference === -1 ? a.length : firstDifference;
}

/** Stand-in for a model runner: continuous batching with a prefix cache, served over HTTP, with fault injection. */
export class EngineRunner implements Closeable {
  readonly id: string;
  readonly #options: EngineOptions;
  readonly #server: HttpServer;
  readonly #clock: Clock = new SystemClock();
  readonly #random: Random;
  readonly #scheduler: BatchScheduler;
  readonly #cache: PrefixCache;
  readonly #events: CacheEvents;
  readonly #load: LaggingValue<Load>;
  readonly #orders: OrderHandler;
  readonly #streams = new Map<Sequence, TokenStream>();
  /** Number of answer tokens after which a sequence is to fail. */
  readonly #failAtToken = new WeakMap<Sequence, number>();
  readonly #kvCaches = new Map<string, readonly string[]>();
  readonly #runs = new Map<string, number>();
  #counts: Counts = {
    requests: 0,
    prefillTokens: 0,
    reusedTokens: 0,
    recomputedTokens: 0,
    generatedTokens: 0,
    cancelled: 0,
    failed: 0,
  };
  #fault: EngineFault = {};
  #timer: NodeJS.Timeout | undefined;
  #steps = 0;
  /** Time at which the current step ends; undefined while idle. */
  #stepEnd: number | undefined;

  constructor(options: EngineOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = new HttpServer(options.id);
    this.#random = new SeededRandom(options.seed ?? 1);
    this.#scheduler = new BatchScheduler(options);
    this.#events = new CacheEvents({
      delayMs: options.cacheEventDelayMs ?? 200,
      lossRate: options.cacheEventLossRate ?? 0.02,
      clock: this.#clock,
      random: new SeededRandom((options.seed ?? 1) + 1),
    });
    this.#cache = new PrefixCache(options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS, (kind, prefix) => {
      this.#events.record(kind, prefix);
    });
    this.#load = new LaggingValue(this.#currentLoad(), options.loadLagMs ?? 200, this.#clock);
    this.#orders = new OrderHandler(options.fencing ?? true);
    this.#addRoutes();
  }

  get address(): string {
    return this.#server.address;
  }

  async listen(): Promise<void> {
    const { host, port } = await runnerAddress(this.#options);
    await this.#server.listen(host, port);
  }

  async drain(graceMs: number): Promise<void> {
    await this.#server.drain(graceMs);
    clearTimeout(this.#timer);
  }

  async close(): Promise<void> {
    clearTimeout(this.#timer);
    await this.#server.close();
  }

  stats(): EngineStats {
    return { runner: this.id, ...this.#counts, runs: Object.fromEntries(this.#runs) };
  }

  /** Merges a change into the active faults. */
  async setFault(body: unknown): Promise<void> {
    const change = parseBody(EngineFault, body);
    this.#fault = { ...this.#fault, ...change };
    if (change.stall) for (const stream of this.#streams.values()) stream.freeze();
    if (change.refuse !== undefined) await this.#server.refuseConnections(change.refuse);
  }

  #addRoutes(): void {
    const server = this.#server;
    const applyFault = (call: HttpCall): HttpReply => {
      const change = parseBody(EngineFault, call.body);
      setImmediate(() => void this.setFault(change));
      return { status: 200, body: {} };
    };
    server.post('/generate', (call) => this.#generate(call));
    server.delete('/generate/:requestId', (call) => this.#cancel(call.params.requestId ?? ''));
    server.get('/load', () => this.#reply(this.#loadReport()));
    server.get('/cache/events', (call) =>
      this.#reply(this.#events.read(Number(call.query.get('after') ?? 0))),
    );
    server.get('/cache/snapshot', () =>
      this.#reply({ seq: this.#events.seq, prefixes: this.#cache.prefixes }),
    );
    server.get('/kv/:requestId', (call) => this.#exportKv(call.params.requestId ?? ''));
    server.post('/kv', (call) => this.#importKv(call));
    server.post('/orders', (call) => this.#orders.receive(call));
    server.get('/orders', () => this.#orders.state());
    server.get('/health', () => this.#reply({ ok: true }));
    server.post('/faults', applyFault);
    server.post('/control/faults', applyFault);
    server.get('/control/stats', () => this.#reply(this.stats()));
    server.get('/control/orders', () => this.#orders.dump());
  }

  #reply(body: unknown, status = 200): HttpReply {
    return { status, body, headers: this.#headers() };
  }

  #headers(): Readonly<Record<string, string>> {
    return this.#fault.leaving ? { 'x-runner-leaving': 'true' } : {};
  }

  #increment(name: keyof Counts, amount = 1): void {
    this.#counts = { ...this.#counts, [name]: this.#counts[name] + amount };
  }

  #generate(call: HttpCall): HttpReply | undefined {
    const body = parseBody(generationSchema, call.body);
    if (this.#fault.reject) return this.#reply({ code: 'overloaded' }, 503);
    this.#increment('requests');
    this.#runs.set(body.requestId, (this.#runs.get(body.requestId) ?? 0) + 1);
    const willFail =
      this.#faultApplies(body.prompt) && this.#random.next() < (this.#fault.failRate ?? 0);
    const { failAs, failAfterTokens = 0 } = this.#fault;
    if (willFail && failAs === 'status') {
      this.#increment('failed');
      return this.#reply({ code: 'engine-error' }, 500);
    }
    const stream = new TokenStream({
      response: call.response,
      headers: this.#headers(),
      isUnframed: this.#fault.unframed ?? false,
    });
    const sequence = new Sequence({ runner: this.id, ...body });
    this.#streams.set(sequence, stream);
    if (willFail) this.#failAtToken.set(sequence, sequence.answerTokens + failAfterTokens);
    if (this.#failIfDue(sequence)) return undefined;
    call.response.once('close', () => {
      this.#cancelUnfinished(sequence);
    });
    this.#scheduler.add(sequence);
    this.#schedule();
    return undefined;
  }

  #faultApplies(text: string): boolean {
    const running = this.#scheduler.running.length + this.#scheduler.waiting.length;
    const { requests } = this.#counts;
    return conditionHolds(this.#fault.condition, { running, requests, text });
  }

  #cancel(requestId: string): HttpReply {
    const found = [...this.#streams].filter(([sequence]) => sequence.requestId === requestId);
    for (const [sequence, stream] of found) {
      stream.send({ type: 'done', finish: 'cancelled' });
      this.#cancelUnfinished(sequence);
      stream.end();
    }
    return this.#reply({ cancelled: found.length }, found.length > 0 ? 200 : 404);
  }

  /** Fails a sequence that has reached its failure token; returns whether it did. */
  #failIfDue(sequence: Sequence): boolean {
    const stream = this.#streams.get(sequence);
    if (!stream || sequence.answerTokens !== this.#failAtToken.get(sequence)) return false;
    this.#increment('failed');
    this.#streams.delete(sequence);
    this.#release(sequence);
    const event = { type: 'error', message: 'engine error' };
    switch (this.#fault.failAs) {
      case 'disconnect':
        stream.destroy();
        return true;
      case 'cut':
        stream.cut(event);
        return true;
      default:
        stream.send(event);
        stream.end();
        return true;
    }
  }

  /** Cancels a sequence unless it has already ended. */
  #cancelUnfinished(sequence: Sequence): void {
    if (!this.#streams.delete(sequence)) return;
    this.#increment('cancelled');
    this.#release(sequence);
  }

  #release(sequence: Sequence): void {
    this.#scheduler.remove(sequence);
    this.#storeKv(sequence.requestId, sequence.words.slice(0, sequence.computedTokens));
    this.#cache.store(sequence.words.slice(0, sequence.computedTokens));
  }

  #storeKv(requestId: string, tokens: readonly string[]): void {
    this.#kvCaches.delete(requestId);
    this.#kvCaches.set(requestId, tokens);
    const [oldest] = this.#kvCaches.keys();
    if (this.#kvCaches.size > MAX_KV_CACHES && oldest !== undefined) this.#kvCaches.delete(oldest);
  }

  async #exportKv(requestId: string): Promise<HttpReply> {
    const sequence = this.#scheduler.running.find((other) => other.requestId === requestId);
    const computed = sequence?.words.slice(0, sequence.computedTokens);
    const tokens = computed ?? this.#kvCaches.get(requestId);
    if (!tokens) return this.#reply({ code: 'unknown-request' }, 404);
    await this.#simulateTransfer(tokens.length);
    return this.#reply({ requestId, tokens });
  }

  async #importKv(call: HttpCall): Promise<HttpReply> {
    const { requestId, tokens } = parseBody(kvCacheSchema, call.body);
    await this.#simulateTransfer(tokens.length);
    this.#storeKv(requestId, tokens);
    this.#cache.store(tokens);
    return this.#reply({ tokens: tokens.length }, 201);
  }

  async #simulateTransfer(tokens: number): Promise<void> {
    await delay(tokens * (this.#options.kvTokenMs ?? 0.01), undefined, { ref: false });
  }

  #currentLoad(): Load {
    const { running, waiting, kvUsed } = this.#scheduler;
    return { at: this.#clock.wall(), running: running.length, waiting: waiting.length, kvUsed };
  }

  #loadReport(): unknown {
    const { kvCapacity, prefillRate } = this.#scheduler;
    const leaving = this.#fault.leaving ?? false;
    return { ...this.#load.get(), kvCapacity, prefillRate, leaving };
  }

  #schedule(): void {
    this.#load.set(this.#currentLoad());
    if (this.#timer) return;
    for (const sequence of this.#scheduler.admit()) this.#start(sequence);
    if (this.#scheduler.running.length === 0) {
      this.#stepEnd = undefined;
      return;
    }
    this.#steps += 1;
    const { condition, slowFactor = 1 } = this.#fault;
    const slowsAllSteps = condition?.marker === undefined;
    const skipsStep = (sequence: Sequence) =>
      !slowsAllSteps &&
      this.#steps % Math.ceil(slowFactor) !== 0 &&
      this.#faultApplies(sequence.prompt);
    const step = this.#scheduler.plan((sequence) => !skipsStep(sequence));
    const durationFactor = slowsAllSteps && this.#faultApplies('') ? slowFactor : 1;
    this.#timer = setTimeout(
      () => {
        this.#timer = undefined;
        for (const { sequence, tokens } of step.prefills) this.#prefill(sequence, tokens);
        for (const sequence of step.decodes) this.#advance(sequence, 1);
        this.#schedule();
      },
      this.#stepDelay(step.durationMs * durationFactor),
    );
  }

  /**
   * Returns the timer delay of a step. Timers have a resolution of one millisecond, so rounding errors are carried over
   * to later steps.
   */
  #stepDelay(durationMs: number): number {
    const now = this.#clock.monotonic();
    const start = Math.max(this.#stepEnd ?? now, now - MAX_CATCH_UP_MS);
    this.#stepEnd = start + durationMs;
    return Math.max(0, Math.ceil(this.#stepEnd - now));
  }

  #start(sequence: Sequence): void {
    const { words, promptTokens, resumedTokens } = sequence;
    const imported = commonPrefixLength(this.#kvCaches.get(sequence.requestId) ?? [], words);
    const cached = Math.min(Math.max(imported, this.#cache.match(words)), words.length - 1);
    sequence.cachedTokens = Math.max(cached, 0);
    sequence.computedTokens = sequence.cachedTokens;
    const cachedAnswer = Math.max(0, sequence.cachedTokens - promptTokens);
    this.#increment('reusedTokens', sequence.cachedTokens);
    this.#increment('recomputedTokens', resumedTokens - cachedAnswer);
    this.#increment('prefillTokens', words.length - sequence.cachedTokens);
    this.#streams.get(sequence)?.send({
      type: 'start',
      cachedTokens: sequence.cachedTokens,
      computedTokens: words.length - sequence.cachedTokens,
    });
    if (sequence.finished) this.#finish(sequence);
  }

  #prefill(sequence: Sequence, tokens: number): void {
    const prefilled = sequence.words.slice(0, sequence.computedTokens + tokens);
    const complete = prefilled.length === sequence.words.length;
    this.#advance(sequence, tokens);
    if (complete) this.#cache.store(prefilled);
  }

  #advance(sequence: Sequence, tokens: number): void {
    const stream = this.#streams.get(sequence);
    if (!stream) return;
    sequence.computedTokens += tokens;
    if (sequence.pendingTokens > 0) return;
    stream.send({ type: 'token', ...sequence.generateToken() });
    this.#increment('generatedTokens');
    if (this.#failIfDue(sequence)) return;
    if (sequence.finished) this.#finish(sequence);
  }

  #finish(sequence: Sequence): void {
    const stream = this.#streams.get(sequence);
    this.#streams.delete(sequence);
    this.#release(sequence);
    stream?.send({ type: 'done', finish: 'length' });
    stream?.end();
  }
}
