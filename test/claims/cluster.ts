import type { Scheduler } from 'fast-check';
import {
  AttemptTracker,
  ClaimEntry,
  decideClaim,
  findClaim,
  oldestOpenAttempt,
  unattendedClaims,
} from '@ragwortrudder/claims';
import type { ClaimDecision, ClaimState, Owner } from '@ragwortrudder/claims';
import type { Fold } from '@ragwortrudder/log';
import { SeededRandom } from '@ragwortrudder/core';
import { FakeLog } from './fake-log.ts';

const TENANT = 'novak';
const MAX_ROUNDS = 10;
const RETRY_AFTER_MS = 1_000;

type CallResult = 'completed' | 'not-run' | 'unknown' | 'key-reused';

class Node {
  readonly tracker = new AttemptTracker();
  alive = true;
  suspected = false;
  cursor = 0;
  position = 0;

  constructor(
    readonly owner: Owner,
    public view: ClaimState,
  ) {}
}

interface Invocation {
  readonly id: number;
  readonly key: string;
  readonly requestDigest: string;
}

interface Execution {
  readonly invocation: number;
  readonly key: string;
  readonly requestDigest: string;
}

interface SettledCall {
  readonly invocation: Invocation;
  readonly word: CallResult;
}

export interface ClusterOptions {
  readonly scheduler: Scheduler;
  readonly fold: Fold<ClaimState>;
  readonly seed: number;
  readonly nodes: number;
}

/** Nodes that read one log, with a scheduling point before and after each side effect. */
export class Cluster {
  readonly log = new FakeLog();
  readonly executions: Execution[] = [];
  readonly settled: SettledCall[] = [];
  readonly #scheduler: Scheduler;
  readonly #fold: Fold<ClaimState>;
  readonly #random: SeededRandom;
  readonly #nodes: Node[] = [];
  /** If true, nodes forget an attempt when they read its outcome, and begin in the event-loop turn of the decision. */
  readonly #forgetsOnOutcome: boolean;
  #invocations = 0;

  constructor({ scheduler, fold, seed, nodes }: ClusterOptions) {
    this.#scheduler = scheduler;
    this.#fold = fold;
    this.#random = new SeededRandom(seed);
    this.#forgetsOnOutcome = seed % 2 === 1;
    for (let index = 0; index < nodes; index += 1) this.#start(index, 1);
  }

  call(nodeIndex: number, key: string, requestDigest: string): void {
    const node = this.#node(nodeIndex);
    this.#invocations += 1;
    void this.#serve(node, { id: this.#invocations, key, requestDigest });
  }

  kill(nodeIndex: number): void {
    const node = this.#node(nodeIndex);
    node.alive = false;
    this.#start(nodeIndex, node.owner.incarnation + 1);
  }

  /** Makes all nodes wrongly consider a node gone. */
  suspect(nodeIndex: number): void {
    this.#node(nodeIndex).suspected = true;
  }

  isAlive(owner: Owner): boolean {
    return this.#nodes.some((node) => isSame(node.owner, owner) && node.alive);
  }

  /** Lets every node read the entire log and forfeit the attempts that no request is processing. */
  sweep(): void {
    for (const node of this.#nodes) {
      node.view = this.state();
      node.cursor = this.log.entries.length;
      const isAttended = (): boolean => false;
      for (const { key, attempt } of unattendedClaims(node.view, {
        self: node.owner,
        isAttended,
      })) {
        this.#forfeit(node, key, attempt);
      }
    }
  }

  /** Returns the state after all entries. */
  state(): ClaimState {
    return this.log.entries.reduce(
      (state, entry) => this.#fold.apply(state, entry),
      this.#fold.initial,
    );
  }

  /** Returns the decision of a new node that has read the entire log. */
  observe(key: string, requestDigest: string): ClaimDecision {
    return decideClaim(this.state(), {
      self: { node: 'observer', incarnation: 1 },
      tenant: TENANT,
      key,
      requestDigest,
      isGone: (owner) => !this.isAlive(owner),
      isStarted: () => false,
      logAvailable: true,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  #start(index: number, incarnation: number): void {
    this.#nodes[index] = new Node({ node: `node-${index}`, incarnation }, this.#fold.initial);
  }

  #node(index: number): Node {
    const node = this.#nodes[index];
    if (!node) throw new RangeError(`no node ${index}`);
    return node;
  }

  async #pause(node: Node, label: string): Promise<void> {
    await this.#scheduler.schedule(Promise.resolve(), `${node.owner.node} ${label}`);
    // A dead node never resumes.
    if (!node.alive) await new Promise(() => undefined);
  }

  #occurs(probability: number): boolean {
    return this.#random.next() < probability;
  }

  /** Reads a random number of the new entries; the rest is read later. */
  #read(node: Node): void {
    if (this.log.down) return;
    const unread = this.log.entries.slice(node.cursor);
    const count = this.#occurs(0.5) ? unread.length : Math.floor(this.#random.next() * 3);
    for (const entry of unread.slice(0, count)) {
      node.view = this.#fold.apply(node.view, entry);
      node.cursor += 1;
      node.position = entry.position;
      const body = ClaimEntry.parse(entry.body);
      if (this.#forgetsOnOutcome && body.type === 'outcome') node.tracker.forget(body.attempt);
    }
    if (!this.#forgetsOnOutcome) {
      node.tracker.forgetBefore(oldestOpenAttempt(node.view, node.position));
    }
  }

  /** Returns false if the reply reports a failed append or if the reply is lost. */
  async #append(node: Node, body: ClaimEntry): Promise<boolean> {
    await this.#pause(node, `append ${body.type}`);
    if (this.log.down) return false;
    this.log.push(body);
    if (this.#occurs(0.1)) this.log.push(body);
    await this.#pause(node, `reply ${body.type}`);
    return !this.#occurs(0.2);
  }

  async #appendUntilConfirmed(node: Node, body: ClaimEntry): Promise<void> {
    do await this.log.up();
    while (!(await this.#append(node, body)));
  }

  async #serve(node: Node, invocation: Invocation): Promise<void> {
    let attempt: number | undefined;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      await this.#pause(node, `turn of ${invocation.id}`);
      this.#read(node);
      const decision = this.#decide(node, invocation, attempt);
      attempt = this.#ownAttempt(node, invocation) ?? attempt;
      const word = await this.#execute(node, invocation, decision);
      if (!word) continue;
      this.settled.push({ invocation, word });
      return;
    }
    this.settled.push({ invocation, word: this.#giveUp(node, invocation.key, attempt) });
  }

  #decide(node: Node, invocation: Invocation, attempt: number | undefined): ClaimDecision {
    return decideClaim(node.view, {
      self: node.owner,
      tenant: TENANT,
      key: invocation.key,
      requestDigest: invocation.requestDigest,
      ...(attempt === undefined ? {} : { attempt }),
      isGone: (owner) => !this.#nodes.some((other) => isSame(other.owner, owner) && isUp(other)),
      isStarted: (started) => node.tracker.isStarted(started),
      logAvailable: !this.log.down,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  #ownAttempt(node: Node, { key, requestDigest }: Invocation): number | undefined {
    const record = findClaim(node.view, TENANT, key);
    if (!record || !isSame(record.owner, node.owner)) return undefined;
    return record.requestDigest === requestDigest ? record.attempt : undefined;
  }

  async #execute(
    node: Node,
    invocation: Invocation,
    decision: ClaimDecision,
  ): Promise<CallResult | undefined> {
    if (decision.kind === 'wait') return undefined;
    if (decision.kind === 'unknown') return 'unknown';
    if (decision.kind === 'answer') return decision.word === 'completed' ? 'completed' : undefined;
    if (decision.kind === 'refuse') {
      if (decision.reason === 'key-reused') return 'key-reused';
      return this.#giveUp(node, invocation.key, this.#ownAttempt(node, invocation));
    }
    const { key, requestDigest } = invocation;
    const subject = { tenant: TENANT, key, ...node.owner };
    if (decision.step === 'claim') {
      await this.#append(node, { type: 'claim', ...subject, requestDigest, service: 'orders' });
      return undefined;
    }
    const { attempt } = decision;
    if (decision.step === 'takeover') {
      const { from } = decision;
      const entry = {
        type: 'takeover',
        tenant: TENANT,
        key,
        attempt,
        from,
        to: node.owner,
      } as const;
      await this.#append(node, entry);
      return undefined;
    }
    if (decision.step === 'sending') {
      await this.#append(node, { type: 'sending', ...subject, attempt });
      return undefined;
    }
    return this.#send(node, invocation, attempt);
  }

  async #send(
    node: Node,
    invocation: Invocation,
    attempt: number,
  ): Promise<CallResult | undefined> {
    if (!this.#forgetsOnOutcome) await this.#pause(node, 'before send');
    if (!node.tracker.begin(attempt)) return undefined;
    await this.#pause(node, 'send');
    const word = this.#runner(invocation);
    await this.#pause(node, 'after send');
    const subject = { tenant: TENANT, key: invocation.key, ...node.owner, attempt };
    void this.#appendUntilConfirmed(node, { type: 'outcome', ...subject, word });
    return word;
  }

  #runner({ id, key, requestDigest }: Invocation): 'completed' | 'not-run' | 'unknown' {
    if (this.#occurs(0.25)) return 'not-run';
    this.executions.push({ invocation: id, key, requestDigest });
    return this.#occurs(0.2) ? 'unknown' : 'completed';
  }

  /** Returns `not-run` only if the attempt can no longer begin on this node. */
  #giveUp(node: Node, key: string, attempt: number | undefined): CallResult {
    if (attempt === undefined) return 'not-run';
    return this.#forfeit(node, key, attempt) ? 'not-run' : 'unknown';
  }

  #forfeit(node: Node, key: string, attempt: number): boolean {
    if (!node.tracker.forfeit(attempt)) return false;
    const subject = { tenant: TENANT, key, ...node.owner, attempt };
    void this.#appendUntilConfirmed(node, { type: 'outcome', ...subject, word: 'not-run' });
    return true;
  }
}

function isSame(a: Owner, b: Owner): boolean {
  return a.node === b.node && a.incarnation === b.incarnation;
}

function isUp({ alive, suspected }: Node): boolean {
  return alive && !suspected;
}
