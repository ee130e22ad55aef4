import type { Clock } from '@ragwortrudder/core';
import { ExecutionOutOfOrder } from '../errors/execution-out-of-order.ts';
import { KeyTableFull } from '../errors/key-table-full.ts';
import { TransferRefused } from '../errors/transfer-refused.ts';
import type { Execution } from '../types/execution.ts';
import type { ExecutionState } from '../types/execution-state.ts';
import type { ExecutionRegistryOptions } from '../types/execution-registry-options.ts';
import type { KeyDecision } from '../types/key-decision.ts';
import type { KeyRequest } from '../types/key-request.ts';
import type { KeyTransfer } from '../types/key-transfer.ts';
import type { ExecutionOutcome } from '../types/execution-outcome.ts';
import type { Owner } from '../types/owner.ts';
import { issueKey } from './issue-key.ts';
import { parseKey } from './parse-key.ts';
import { sameOwner } from './same-owner.ts';

const DEFAULT_MAX_KEYS = 100_000;
const DEFAULT_UNUSED_LIFETIME_MS = 600_000;
const DEFAULT_RETENTION_MS = 86_400_000;
const DEFAULT_TRANSFER_LIFETIME_MS = 60_000;

/** Allowed state transitions; a transferred or finished key never runs on this node again. */
const ALLOWED_TRANSITIONS: Readonly<Record<ExecutionState, readonly ExecutionState[]>> = {
  reserved: ['accepted', 'transferred'],
  accepted: ['sending', 'not-run', 'transferred'],
  sending: ['completed', 'failed', 'not-run', 'unknown'],
  unknown: ['completed', 'failed'],
  transferred: [],
  completed: [],
  failed: [],
  'not-run': [],
};

/** Tracks the issued keys that one incarnation may execute, and their outcomes. */
export class ExecutionRegistry {
  readonly #self: Owner;
  readonly #clock: Clock;
  readonly #options: Required<ExecutionRegistryOptions>;
  readonly #executions = new Map<string, Execution>();

  constructor(options: ExecutionRegistryOptions) {
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

  /** Number of keys, including expired ones until they are pruned. */
  get size(): number {
    return this.#executions.size;
  }

  /**
   * Issues a key under which only this incarnation may run a request.
   * @throws {@link KeyTableFull} if the maximum number of keys is reached.
   */
  issue(tenant: string): string {
    this.#ensureCapacity();
    const key = issueKey({ ...this.#self, random: this.#options.random });
    this.#store({ tenant, key, state: 'reserved', delegated: false });
    return key;
  }

  /** Decides on a request under an issued key; returns `run` for at most one request per key. */
  accept({ tenant, key, requestDigest }: KeyRequest): KeyDecision {
    const execution = this.#executions.get(key);
    if (!execution) return this.#decideUnknownKey(key);
    if (execution.tenant !== tenant) return refusal('wrong-tenant');
    if ((execution.requestDigest ?? requestDigest) !== requestDigest) return refusal('key-reused');
    if (execution.state !== 'reserved') return decideUsed(execution);
    if (this.#hasExpired(execution)) return refusal('key-expired');
    this.#store({ ...execution, state: 'accepted', requestDigest });
    return { kind: 'run' };
  }

  /**
   * Records that the request is about to be sent to a runner; must be called before the first byte is written.
   * @throws {@link ExecutionOutOfOrder} unless the key is in state `accepted`.
   */
  startSending(key: string): void {
    this.#transition(key, 'sending');
  }

  /**
   * Records the outcome; `not-run` requires proof that no runner received the request.
   * @throws {@link ExecutionOutOfOrder} if the key's state does not allow the outcome.
   */
  finish(key: string, word: ExecutionOutcome, result?: unknown): void {
    this.#transition(key, word, result === undefined ? {} : { result });
  }

  /** Returns the keys that can still be transferred at a planned shutdown. */
  transferable(): readonly string[] {
    return [...this.#executions.values()]
      .filter((execution) => ALLOWED_TRANSITIONS[execution.state].includes('transferred'))
      .filter((execution) => !this.#hasExpired(execution))
      .map(({ key }) => key);
  }

  /**
   * Transfers a key to another executor. The state changes before the message is created: the key
   * never runs on this node afterwards, whether or not the message arrives.
   * @throws {@link ExecutionOutOfOrder} if sending has begun.
   * @throws {@link TransferRefused} if the receiver is this incarnation.
   */
  transfer(key: string, to: Owner): KeyTransfer {
    if (sameOwner(to, this.#self))
      throw new TransferRefused(key, 'the receiver is the sending incarnation');
    const { tenant, requestDigest } = this.#transition(key, 'transferred', { to });
    const validUntil = this.#clock.wall() + this.#options.transferLifetimeMs;
    const message = { tenant, key, from: this.#self, to, validUntil };
    return requestDigest === undefined ? message : { ...message, requestDigest };
  }

  /**
   * Receives a transferred key; idempotent for repeated messages.
   * @throws {@link TransferRefused} if the message has expired, is addressed to another incarnation, or
   *   concerns a key issued by this incarnation.
   */
  receive(message: KeyTransfer): void {
    const { tenant, key, requestDigest } = message;
    if (!sameOwner(message.to, this.#self))
      throw new TransferRefused(key, 'the message is addressed to another incarnation');
    if (this.#isOwn(key))
      throw new TransferRefused(key, 'this incarnation issued the key and transferred it');
    if (this.#executions.has(key)) return;
    if (this.#clock.wall() > message.validUntil)
      throw new TransferRefused(key, 'the message has expired');
    this.#ensureCapacity();
    const execution = { tenant, key, state: 'reserved', delegated: true } as const;
    this.#store(requestDigest === undefined ? execution : { ...execution, requestDigest });
  }

  /** Returns the execution recorded for a key, if any. */
  find(key: string): Execution | undefined {
    return this.#executions.get(key);
  }

  /** Removes keys whose retention period has passed. */
  prune(): void {
    const now = this.#clock.monotonic();
    for (const [key, execution] of this.#executions) {
      if (now - execution.changedAtMs > this.#retentionMsOf(execution))
        this.#executions.delete(key);
    }
  }

  #decideUnknownKey(key: string): KeyDecision {
    const executor = parseKey(key)?.executor;
    if (executor && !sameOwner(executor, this.#self)) return { kind: 'forward', to: executor };
    return { kind: 'unknown' };
  }

  #isOwn(key: string): boolean {
    const executor = parseKey(key)?.executor;
    return executor !== undefined && sameOwner(executor, this.#self);
  }

  #hasExpired({ state, changedAtMs }: Execution): boolean {
    const unusedMs = this.#clock.monotonic() - changedAtMs;
    return state === 'reserved' && unusedMs > this.#options.unusedLifetimeMs;
  }

  /** An unused key is retained for another `unusedLifetimeMs` after its expiry, so that it is refused as expired. */
  #retentionMsOf({ state }: Execution): number {
    if (state === 'accepted' || state === 'sending') return Infinity;
    return state === 'reserved' ? 2 * this.#options.unusedLifetimeMs : this.#options.retentionMs;
  }

  #ensureCapacity(): void {
    if (this.#executions.size < this.#options.maxKeys) return;
    this.prune();
    if (this.#executions.size < this.#options.maxKeys) return;
    throw new KeyTableFull(this.#options.maxKeys, this.#options.unusedLifetimeMs);
  }

  #transition(key: string, state: ExecutionState, changes: Partial<Execution> = {}): Execution {
    const execution = this.#executions.get(key);
    if (!execution || !ALLOWED_TRANSITIONS[execution.state].includes(state)) {
      throw new ExecutionOutOfOrder(key, execution?.state ?? 'absent', state);
    }
    return this.#store({ ...execution, ...changes, state });
  }

  #store(execution: Omit<Execution, 'changedAtMs'>): Execution {
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
