import type { Scheduler } from 'fast-check';
import {
  AttemptLedger,
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
const MAX_TURNS = 10;
const RETRY_AFTER_MS = 1_000;

type Word = 'completed' | 'not-run' | 'unknown' | 'key-reused';

class Node {
  readonly ledger = new AttemptLedger();
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

interface Settled {
  readonly invocation: Invocation;
  readonly word: Word;
}

export interface ClusterOptions {
  readonly scheduler: Scheduler;
  readonly fold: Fold<ClaimState>;
  readonly seed: number;
  readonly nodes: number;
}

/** Nodes that follow one log, with a pause point before and after each effect. */
export class Cluster {
  readonly log = new FakeLog();
  readonly executions: Execution[] = [];
  readonly settled: Settled[] = [];
  readonly #scheduler: Scheduler;
  readonly #fold: Fold<ClaimState>;
  readonly #random: SeededRandom;
  readonly #nodes: Node[] = [];
  /** Nodes forget each attempt with its outcome, and begin in the turn of the decision. */
  readonly #forgetsAtOnce: boolean;
  #invocations = 0;

  constructor({ scheduler, fold, seed, nodes }: ClusterOptions) {
    this.#scheduler = scheduler;
    this.#fold = fold;
    this.#random = new SeededRandom(seed);
    this.#forgetsAtOnce = seed % 2 === 1;
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

  /** Lets the other nodes wrongly believe that a node is gone. */
  suspect(nodeIndex: number): void {
    this.#node(nodeIndex).suspected = true;
  }

  isAlive(owner: Owner): boolean {
    return this.#nodes.some((node) => isSame(node.owner, owner) && node.alive);
  }

  /** Lets every live node read everything and give up the attempts that no request pursues. */
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

  /** State after all entries. */
  state(): ClaimState {
    return this.log.entries.reduce(
      (state, entry) => this.#fold.apply(state, entry),
      this.#fold.initial,
    );
  }

  /** What a new node that has read everything decides on a key. */
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
    // A dead node never takes another step.
    if (!node.alive) await new Promise(() => undefined);
  }

  #chance(part: number): boolean {
    return this.#random.next() < part;
  }

  /** Reads some of what is new: the rest is seen later. */
  #read(node: Node): void {
    if (this.log.down) return;
    const unread = this.log.entries.slice(node.cursor);
    const count = this.#chance(0.5) ? unread.length : Math.floor(this.#random.next() * 3);
    for (const entry of unread.slice(0, count)) {
      node.view = this.#fold.apply(node.view, entry);
      node.cursor += 1;
      node.position = entry.position;
      const body = ClaimEntry.parse(entry.body);
      if (this.#forgetsAtOnce && body.type === 'outcome') node.ledger.forget(body.attempt);
    }
    if (!this.#forgetsAtOnce) {
      node.ledger.forgetBefore(oldestOpenAttempt(node.view, node.position));
    }
  }

  /** Returns false when the reply says that nothing was appended or when there is no reply. */
  async #append(node: Node, body: ClaimEntry): Promise<boolean> {
    await this.#pause(node, `append ${body.type}`);
    if (this.log.down) return false;
    this.log.push(body);
    if (this.#chance(0.1)) this.log.push(body);
    await this.#pause(node, `reply ${body.type}`);
    return !this.#chance(0.2);
  }

  async #appendUntilRead(node: Node, body: ClaimEntry): Promise<void> {
    do await this.log.up();
    while (!(await this.#append(node, body)));
  }

  async #serve(node: Node, invocation: Invocation): Promise<void> {
    let attempt: number | undefined;
    for (let turn = 0; turn < MAX_TURNS; turn += 1) {
      await this.#pause(node, `turn of ${invocation.id}`);
      this.#read(node);
      const decision = this.#decide(node, invocation, attempt);
      attempt = this.#ownAttempt(node, invocation) ?? attempt;
      const word = await this.#act(node, invocation, decision);
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
      isStarted: (started) => node.ledger.isStarted(started),
      logAvailable: !this.log.down,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  #ownAttempt(node: Node, { key, requestDigest }: Invocation): number | undefined {
    const record = findClaim(node.view, TENANT, key);
    if (!record || !isSame(record.owner, node.owner)) return undefined;
    return record.requestDigest === requestDigest ? record.attempt : undefined;
  }

  async #act(
    node: Node,
    invocation: Invocation,
    decision: ClaimDecision,
  ): Promise<Word | undefined> {
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

  async #send(node: Node, invocation: Invocation, attempt: number): Promise<Word | undefined> {
    if (!this.#forgetsAtOnce) await this.#pause(node, 'before send');
    if (!node.ledger.begin(attempt)) return undefined;
    await this.#pause(node, 'send');
    const word = this.#runner(invocation);
    await this.#pause(node, 'after send');
    const subject = { tenant: TENANT, key: invocation.key, ...node.owner, attempt };
    void this.#appendUntilRead(node, { type: 'outcome', ...subject, word });
    return word;
  }

  #runner({ id, key, requestDigest }: Invocation): 'completed' | 'not-run' | 'unknown' {
    if (this.#chance(0.25)) return 'not-run';
    this.executions.push({ invocation: id, key, requestDigest });
    return this.#chance(0.2) ? 'unknown' : 'completed';
  }

  /** Says not run only where the attempt can no longer begin here. */
  #giveUp(node: Node, key: string, attempt: number | undefined): Word {
    if (attempt === undefined) return 'not-run';
    return this.#forfeit(node, key, attempt) ? 'not-run' : 'unknown';
  }

  #forfeit(node: Node, key: string, attempt: number): boolean {
    if (!node.ledger.forfeit(attempt)) return false;
    const subject = { tenant: TENANT, key, ...node.owner, attempt };
    void this.#appendUntilRead(node, { type: 'outcome', ...subject, word: 'not-run' });
    return true;
  }
}

function isSame(a: Owner, b: Owner): boolean {
  return a.node === b.node && a.incarnation === b.incarnation;
}

function isUp({ alive, suspected }: Node): boolean {
  return alive && !suspected;
}
