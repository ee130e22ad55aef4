import type { Clock } from '@ragwortrudder/core';
import { ExecutionOutOfOrder } from '../errors/execution-out-of-order.ts';
import { KeyTableFull } from '../errors/key-table-full.ts';
import { TransferRefused } from '../errors/transfer-refused.ts';
import type { Execution } from '../types/execution.ts';
import type { ExecutionState } from '../types/execution-state.ts';
import type { ExecutorTableOptions } from '../types/executor-table-options.ts';
import type { KeyDecision } from '../types/key-decision.ts';
import type { KeyRequest } from '../types/key-request.ts';
import type { KeyTransfer } from '../types/key-transfer.ts';
import type { OutcomeWord } from '../types/outcome-word.ts';
import type { Owner } from '../types/owner.ts';
import { issueKey } from './issue-key.ts';
import { parseKey } from './parse-key.ts';
import { sameOwner } from './same-owner.ts';

const DEFAULT_MAX_KEYS = 100_000;
const DEFAULT_UNUSED_LIFETIME_MS = 600_000;
const DEFAULT_RETENTION_MS = 86_400_000;
const DEFAULT_TRANSFER_LIFETIME_MS = 60_000;

/** States that may follow a state; a transferred or finished key never runs here again. */
const NEXT: Readonly<Record<ExecutionState, readonly ExecutionState[]>> = {
  reserved: ['accepted', 'transferred'],
  accepted: ['sending', 'not-run', 'transferred'],
  sending: ['completed', 'failed', 'not-run', 'unknown'],
  unknown: ['completed', 'failed'],
  transferred: [],
  completed: [],
  failed: [],
  'not-run': [],
};

/** The issued keys that one incarnation may run, and what became of them. */
export class ExecutorTable {
  readonly #self: Owner;
  readonly #clock: Clock;
  readonly #options: Required<ExecutorTableOptions>;
  readonly #executions = new Map<string, Execution>();

  constructor(options: ExecutorTableOptions) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#options = {
      ...options,
      maxKeys: options.maxKeys ?? DEFAULT_MAX_KEYS,
      unusedLifetimeMs: options.unusedLifetimeMs ?? DEFAULT_UNUSED_LIFETIME_MS,
      retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
      transferLifetimeMs: options.transferLifetimeMs ?? DEFAULT_TRANSFER_LIFETIME_MS,
    };
  }

  /** Number of keys held, expired ones included until they are removed. */
  get size(): number {
    return this.#executions.size;
  }

  /**
   * Issues a key that only this incarnation may run.
   * @throws {@link KeyTableFull} when the table holds as many keys as it may.
   */
  issue(tenant: string): string {
    this.#makeRoom();
    const key = issueKey({ ...this.#self, random: this.#options.random });
    this.#put({ tenant, key, state: 'reserved', delegated: false });
    return key;
  }

  /** Decides on a request under an issued key; `run` is returned for one request at most. */
  accept({ tenant, key, requestDigest }: KeyRequest): KeyDecision {
    const execution = this.#executions.get(key);
    if (!execution) return this.#decideAbsent(key);
    if (execution.tenant !== tenant) return refusal('wrong-tenant');
    if ((execution.requestDigest ?? requestDigest) !== requestDigest) return refusal('key-reused');
    if (execution.state !== 'reserved') return decideUsed(execution);
    if (this.#isUnusedTooLong(execution)) return refusal('key-expired');
    this.#put({ ...execution, state: 'accepted', requestDigest });
    return { kind: 'run' };
  }

  /**
   * Records that the request is about to be written to a runner; must precede the first byte.
   * @throws {@link ExecutionOutOfOrder} unless the key is accepted.
   */
  startSending(key: string): void {
    this.#change(key, 'sending');
  }

  /**
   * Records the outcome: `not-run` only with proof that no runner received the request.
   * @throws {@link ExecutionOutOfOrder} when the key's state does not allow it.
   */
  finish(key: string, word: OutcomeWord, result?: unknown): void {
    this.#change(key, word, result === undefined ? {} : { result });
  }

  /** Keys that can still be given away at a planned stop. */
  transferable(): readonly string[] {
    return [...this.#executions.values()]
      .filter((execution) => NEXT[execution.state].includes('transferred'))
      .filter((execution) => !this.#isUnusedTooLong(execution))
      .map(({ key }) => key);
  }

  /**
   * Gives a key away. The decision is final before the message exists: the key never runs here
   * afterwards, whether or not the message arrives.
   * @throws {@link ExecutionOutOfOrder} when sending has begun.
   */
  transfer(key: string, to: Owner): KeyTransfer {
    if (sameOwner(to, this.#self)) throw new TransferRefused(key, 'the receiver is the sender');
    const { tenant, requestDigest } = this.#change(key, 'transferred', { to });
    const validUntil = this.#clock.wall() + this.#options.transferLifetimeMs;
    const message = { tenant, key, from: this.#self, to, validUntil };
    return requestDigest === undefined ? message : { ...message, requestDigest };
  }

  /**
   * Takes over a key; repeating the message has no further effect.
   * @throws {@link TransferRefused} when the message is late or not for this incarnation, or when
   *   the key was issued here.
   */
  receive(message: KeyTransfer): void {
    const { tenant, key, requestDigest } = message;
    if (!sameOwner(message.to, this.#self)) throw new TransferRefused(key, 'wrong receiver');
    if (this.#isOwn(key)) throw new TransferRefused(key, 'this incarnation gave the key away');
    if (this.#executions.has(key)) return;
    if (this.#clock.wall() > message.validUntil) throw new TransferRefused(key, 'message is late');
    this.#makeRoom();
    const execution = { tenant, key, state: 'reserved', delegated: true } as const;
    this.#put(requestDigest === undefined ? execution : { ...execution, requestDigest });
  }

  /** Returns what is known of a key. */
  find(key: string): Execution | undefined {
    return this.#executions.get(key);
  }

  /** Removes keys that are past their retention. */
  prune(): void {
    const now = this.#clock.monotonic();
    for (const [key, execution] of this.#executions) {
      if (now - execution.changedAtMs > this.#lifetimeMs(execution)) this.#executions.delete(key);
    }
  }

  #decideAbsent(key: string): KeyDecision {
    const executor = parseKey(key)?.executor;
    if (executor && !sameOwner(executor, this.#self)) return { kind: 'forward', to: executor };
    return { kind: 'unknown' };
  }

  #isOwn(key: string): boolean {
    const executor = parseKey(key)?.executor;
    return executor !== undefined && sameOwner(executor, this.#self);
  }

  #isUnusedTooLong({ state, changedAtMs }: Execution): boolean {
    const unusedMs = this.#clock.monotonic() - changedAtMs;
    return state === 'reserved' && unusedMs > this.#options.unusedLifetimeMs;
  }

  /** An unused key is kept for as long again after it expired, to be refused as expired. */
  #lifetimeMs({ state }: Execution): number {
    if (state === 'accepted' || state === 'sending') return Infinity;
    return state === 'reserved' ? 2 * this.#options.unusedLifetimeMs : this.#options.retentionMs;
  }

  #makeRoom(): void {
    if (this.#executions.size < this.#options.maxKeys) return;
    this.prune();
    if (this.#executions.size < this.#options.maxKeys) return;
    throw new KeyTableFull(this.#options.maxKeys, this.#options.unusedLifetimeMs);
  }

  #change(key: string, state: ExecutionState, changes: Partial<Execution> = {}): Execution {
    const execution = this.#executions.get(key);
    if (!execution || !NEXT[execution.state].includes(state)) {
      throw new ExecutionOutOfOrder(key, execution?.state ?? 'absent', state);
    }
    return this.#put({ ...execution, ...changes, state });
  }

  #put(execution: Omit<Execution, 'changedAtMs'>): Execution {
    const stored = { ...execution, changedAtMs: this.#clock.monotonic() };
    this.#executions.set(stored.key, stored);
    return stored;
  }
}

function refusal(reason: 'key-reused' | 'key-expired' | 'wrong-tenant'): KeyDecision {
  return { kind: 'refuse', reason, notRun: true };
}

function decideUsed({ state, to, result }: Execution): KeyDecision {
  if (state === 'transferred' && to) return { kind: 'forward', to };
  if (state === 'completed' || state === 'failed') {
    return result === undefined
      ? { kind: 'answer', word: state }
      : { kind: 'answer', word: state, result };
  }
  if (state === 'not-run') return { kind: 'answer', word: state };
  if (state === 'unknown') return { kind: 'unknown' };
  return { kind: 'wait' };
}
