import type { Clock, Closeable, Incarnation, Random } from '@ragwortrudder/core';
import { UnknownPeer } from '../errors/unknown-peer.ts';
import type { DomainView } from '../types/domain-view.ts';
import type { Gossip } from '../types/gossip.ts';
import type { IndirectProbe } from '../types/indirect-probe.ts';
import type { Member } from '../types/member.ts';
import type { MembershipEvent } from '../types/membership-event.ts';
import type { MembershipOptions } from '../types/membership-options.ts';
import type { MembershipSettings } from '../types/membership-settings.ts';
import type { PeerTransport } from '../types/peer-transport.ts';
import type { ProbeMessage } from '../types/probe-message.ts';
import type { ProbeReply } from '../types/probe-reply.ts';
import type { SyncRequest } from '../types/sync-request.ts';
import { Contacts } from './contacts.ts';
import { DEFAULT_SETTINGS } from './default-settings.ts';
import { Exchange } from './exchange.ts';
import { isGoneState } from './is-gone-state.ts';
import { ProbeOrder } from './probe-order.ts';
import { shuffle } from './shuffle.ts';
import type { SoftState } from './soft-state.ts';

/** Seeds tried at once by a node that knows nobody. */
const SEEDS_PER_ROUND = 3;
/** Part of the synchronizations that go to an address without a present member. */
const LOST_ADDRESS_PART = 0.25;
/** Members of the own failure domain told directly of a planned leave. */
const LEAVE_FANOUT = 3;
/** Rounds without any contact to a suspect before it can be declared dead. */
const MIN_FAILED_ROUNDS = 2;

interface MessageOptions {
  readonly sync?: SyncRequest;
  /** Failure domain of the receiver, when known. */
  readonly failureDomain?: string;
}

/** Tells whether a reply comes from that incarnation of the member or a later one, not from a node that reuses its address. */
function isFrom(reply: ProbeReply, member: Member): boolean {
  return reply.fromNode === member.nodeId && reply.fromIncarnation >= member.incarnation;
}

/**
 * Members of the system as seen by one node: probes others, learns changes carried along with probes, and
 * exchanges the reports of a {@link SoftState}.
 */
export class Membership<Report> implements Closeable {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #transport: PeerTransport;
  readonly #settings: MembershipSettings;
  readonly #seeds: () => readonly string[];
  readonly #reports: SoftState<Report>;
  readonly #exchange: Exchange;
  readonly #contacts: Contacts;
  readonly #ownOrder: ProbeOrder;
  readonly #listeners = new Set<(event: MembershipEvent) => void>();
  #self: Member;
  #round = 0;
  #domainTurn = 0;
  #lastTickAt: number | undefined;
  #joined = false;
  #stopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MembershipOptions<Report>) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#transport = options.transport;
    this.#settings = { ...DEFAULT_SETTINGS, ...options.settings };
    this.#seeds = options.seeds;
    this.#reports = options.reports;
    this.#exchange = new Exchange({
      self: options.self,
      clock: options.clock,
      random: options.random,
      settings: this.#settings,
      reports: options.reports as unknown as SoftState<unknown>,
    });
    this.#contacts = new Contacts(options.clock);
    this.#ownOrder = new ProbeOrder(options.random);
    this.#self = { ...options.self, state: 'alive', refutation: 0 };
    this.#exchange.apply(this.#self);
  }

  /** This node as the others see it. */
  get self(): Member {
    return this.#self;
  }

  /** Every member known, this node and those gone included. */
  get members(): readonly Member[] {
    return this.#exchange.table.all;
  }

  /** Starts the probe timer. */
  start(): void {
    if (this.#timer) return;
    this.#timer = setInterval(() => {
      void this.tick();
    }, this.#settings.probePeriodMs);
  }

  /** Runs one probe round. */
  async tick(): Promise<void> {
    if (this.#stopped) return;
    const startedAt = this.#clock.monotonic();
    if (this.#wasPausedSince(this.#lastTickAt)) this.#contacts.restart();
    this.#lastTickAt = startedAt;
    this.#round += 1;
    this.#exchange.prune();
    this.#exchange.flush();
    await Promise.all([
      ...this.#probeTargets().map((member) => this.#probeMember(member)),
      this.#synchronize(),
    ]);
    if (this.#wasPausedSince(startedAt)) {
      this.#contacts.restart();
      return;
    }
    this.#declareDead();
  }

  /** Answers a probe of another node. */
  handleProbe(message: ProbeMessage): ProbeReply {
    const sender = this.#exchange.table.get(message.fromNode);
    this.#receive(message.gossip);
    this.#noteSender(message.fromNode, message.fromIncarnation);
    const must = this.#mustTell(message, sender);
    const gossip = message.sync
      ? this.#withMust(this.#exchange.answer(message.sync), must)
      : this.#exchange.gossip(must, sender?.failureDomain);
    return {
      fromNode: this.#self.nodeId,
      fromIncarnation: this.#self.incarnation,
      gossip,
      ...(message.sync && { buckets: this.#exchange.buckets }),
    };
  }

  /**
   * Probes a third node on behalf of another.
   * @throws {@link UnknownPeer} when the address belongs to no member.
   */
  async handleIndirectProbe({ target, message }: IndirectProbe): Promise<ProbeReply> {
    const known = this.members.some(({ peerAddress }) => peerAddress === target);
    if (!known) throw new UnknownPeer(target);
    return this.#transport.probe(target, message, this.#settings.probeTimeoutMs);
  }

  /** True when that incarnation left, was declared dead, or was replaced by a newer one. Never becomes false again. */
  isGone(incarnation: Incarnation): boolean {
    return this.#exchange.table.isGone(incarnation);
  }

  /** Contact with each failure domain. */
  domainView(): readonly DomainView[] {
    const domains = new Map<string, Member[]>();
    for (const member of this.#exchange.table.present) {
      domains.set(member.failureDomain, [...(domains.get(member.failureDomain) ?? []), member]);
    }
    return [...domains].map(([failureDomain, members]) => ({
      failureDomain,
      region: members[0]?.region ?? '',
      reachable: this.#isReachable(failureDomain),
      present: members.length,
      alive: members.filter(({ state }) => state === 'alive').length,
    }));
  }

  /** Calls `listener` for every change; returns a function that ends this. */
  subscribe(listener: (event: MembershipEvent) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Tells the others that this node leaves, and stops probing. */
  async leave(): Promise<void> {
    if (this.#stopped) return;
    this.#setSelf({ ...this.#self, state: 'left' });
    this.#stop();
    const others = shuffle(this.#others(), this.#random);
    const near = others.filter(({ failureDomain }) => failureDomain === this.#self.failureDomain);
    const far = new Map(others.map((member) => [member.failureDomain, member]));
    far.delete(this.#self.failureDomain);
    const told = [...near.slice(0, LEAVE_FANOUT), ...far.values()];
    await Promise.all(
      told.map((member) => this.#send(member.peerAddress, this.#message([this.#self]))),
    );
  }

  close(): Promise<void> {
    this.#stop();
    this.#listeners.clear();
    return Promise.resolve();
  }

  #stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  #wasPausedSince(time: number | undefined): boolean {
    if (time === undefined) return false;
    return this.#clock.monotonic() - time > 2 * this.#settings.probePeriodMs;
  }

  #isReachable(failureDomain: string): boolean {
    return failureDomain === this.#self.failureDomain || this.#contacts.isReachable(failureDomain);
  }

  #others(): readonly Member[] {
    return this.#exchange.table.present.filter(({ nodeId }) => nodeId !== this.#self.nodeId);
  }

  #probeTargets(): readonly Member[] {
    const others = this.#others();
    const own = others.filter(({ failureDomain }) => failureDomain === this.#self.failureDomain);
    const suspects = shuffle(this.#contacts.suspects, this.#random)
      .slice(0, this.#settings.suspectsPerRound)
      .flatMap((nodeId) => this.#exchange.table.get(nodeId) ?? []);
    const targets = [this.#ownOrder.next(own), ...this.#crossTargets(others), ...suspects];
    return [...new Set(targets.filter((member) => member !== undefined))];
  }

  /** One member of the domain whose turn it is, and one of each domain that did not answer last time. */
  #crossTargets(others: readonly Member[]): readonly (Member | undefined)[] {
    const names = new Set(others.map(({ failureDomain }) => failureDomain));
    names.delete(this.#self.failureDomain);
    const domains = [...names].sort();
    const silent = domains.filter((domain) => this.#contacts.failuresOf(domain) > 0);
    const isTurn = this.#round % this.#settings.crossDomainRounds === 0;
    const turn = isTurn ? domains[this.#domainTurn++ % domains.length] : undefined;
    const chosen = new Set(turn === undefined ? silent : [turn, ...silent]);
    return [...chosen].map((domain) => {
      const members = others.filter(({ failureDomain }) => failureDomain === domain);
      return shuffle(members, this.#random)[0];
    });
  }

  async #probeMember(member: Member): Promise<void> {
    const must = member.state === 'alive' ? [] : [member];
    const { failureDomain } = member;
    const reply = await this.#send(member.peerAddress, this.#message(must, { failureDomain }));
    if (reply && isFrom(reply, member)) return;
    this.#contacts.directFailed(member);
    if (await this.#probeThroughOthers(member)) return;
    const current = this.#exchange.table.get(member.nodeId);
    if (current?.incarnation !== member.incarnation || isGoneState(current.state)) return;
    this.#contacts.roundFailed(member);
    if (current.state === 'alive') this.#learn({ ...current, state: 'suspect' });
  }

  async #probeThroughOthers(member: Member): Promise<boolean> {
    const others = this.#others().filter(({ nodeId }) => nodeId !== member.nodeId);
    const vias = shuffle(others, this.#random).slice(0, this.#settings.indirectProbes);
    const replies = await Promise.all(vias.map((via) => this.#sendThrough(via, member)));
    return replies.includes(true);
  }

  async #sendThrough(via: Member, member: Member): Promise<boolean> {
    try {
      const reply = await this.#transport.probeThrough(
        via.peerAddress,
        member.peerAddress,
        this.#message([member]),
        2 * this.#settings.probeTimeoutMs,
      );
      this.#receive(reply.gossip);
      if (!isFrom(reply, member)) return false;
      this.#contacts.indirect(member);
      return true;
    } catch {
      return false;
    }
  }

  async #synchronize(): Promise<void> {
    const others = this.#others();
    if (others.length === 0) {
      const seeds = shuffle(this.#lostAddresses(), this.#random).slice(0, SEEDS_PER_ROUND);
      await Promise.all(seeds.map((address) => this.#syncWith(address, true)));
      return;
    }
    if (this.#random.next() * this.#settings.syncRounds >= 1) return;
    const address = this.#syncAddress(others);
    if (address !== undefined) await this.#syncWith(address, false);
  }

  #syncAddress(others: readonly Member[]): string | undefined {
    const lost = this.#lostAddresses();
    const tryLost = lost.length > 0 && this.#random.next() < LOST_ADDRESS_PART;
    const addresses = tryLost ? lost : others.map(({ peerAddress }) => peerAddress);
    return addresses[Math.floor(this.#random.next() * addresses.length)];
  }

  /** Addresses at which a node may be that this node does not hold for present. */
  #lostAddresses(): readonly string[] {
    const dead = this.members.filter(({ state }) => state === 'dead');
    const present = new Set(this.#exchange.table.present.map(({ peerAddress }) => peerAddress));
    const all = new Set([...this.#seeds(), ...dead.map(({ peerAddress }) => peerAddress)]);
    return [...all].filter((address) => !present.has(address));
  }

  async #syncWith(address: string, everything: boolean): Promise<void> {
    const claims = this.members.filter(
      (member) => member.peerAddress === address && member.state !== 'alive',
    );
    const request = this.#exchange.syncRequest(everything);
    const reply = await this.#send(
      address,
      this.#message([this.#self, ...claims], { sync: request }),
    );
    if (!reply?.buckets) return;
    const differences = this.#exchange.differences(reply.buckets);
    if (differences.length > 0) await this.#send(address, this.#message(differences));
  }

  #message(must: readonly Member[], options: MessageOptions = {}): ProbeMessage {
    return {
      fromNode: this.#self.nodeId,
      fromIncarnation: this.#self.incarnation,
      gossip: this.#exchange.gossip(must, options.failureDomain),
      ...(options.sync && { sync: options.sync }),
    };
  }

  async #send(address: string, message: ProbeMessage): Promise<ProbeReply | undefined> {
    try {
      const reply = await this.#transport.probe(address, message, this.#settings.probeTimeoutMs);
      this.#receive(reply.gossip, reply.buckets !== undefined);
      this.#noteSender(reply.fromNode, reply.fromIncarnation);
      this.#joined = true;
      return reply;
    } catch {
      return undefined;
    }
  }

  #noteSender(nodeId: string, incarnation: number): void {
    const sender = this.#exchange.table.get(nodeId);
    if (sender?.incarnation === incarnation) this.#contacts.direct(sender);
  }

  /** Claims that the sender of `message` needs: about this node when it asked or does not know it, and about itself. */
  #mustTell(message: ProbeMessage, sender: Member | undefined): readonly Member[] {
    const mentioned = message.gossip.members.some(({ nodeId }) => nodeId === this.#self.nodeId);
    const own = mentioned || !sender ? [this.#self] : [];
    const known = this.#exchange.table.get(message.fromNode);
    const outdated =
      known && (known.state !== 'alive' || known.incarnation > message.fromIncarnation);
    return outdated ? [...own, known] : own;
  }

  #withMust(gossip: Gossip, must: readonly Member[]): Gossip {
    const forced = new Set(must.map(({ nodeId }) => nodeId));
    const rest = gossip.members.filter(({ nodeId }) => !forced.has(nodeId));
    return { members: [...must, ...rest], reports: gossip.reports };
  }

  #receive(gossip: Gossip, isSynced = false): void {
    for (const member of gossip.members) {
      if (member.nodeId === this.#self.nodeId) this.#answerClaim(member);
      else this.#learn(member, isSynced);
    }
    this.#exchange.mergeReports(gossip.reports);
  }

  #learn(member: Member, isSynced = false): void {
    const event = this.#exchange.apply(member, isSynced);
    if (!event) return;
    if (event.kind !== 'suspected') this.#contacts.forget(member.nodeId);
    this.#emit(event);
  }

  /** Answers a claim about this node itself. */
  #answerClaim(claim: Member): void {
    if (this.#stopped || claim.incarnation < this.#self.incarnation) return;
    if (claim.incarnation > this.#self.incarnation && this.#joined) {
      this.#stop();
      this.#emit({ kind: 'replaced', member: claim });
      return;
    }
    if (claim.incarnation > this.#self.incarnation || isGoneState(claim.state)) {
      this.#renew(claim);
      return;
    }
    if (claim.state !== 'suspect' || claim.refutation < this.#self.refutation) return;
    this.#setSelf({ ...this.#self, refutation: claim.refutation + 1 });
  }

  #renew(claim: Member): void {
    this.#exchange.apply(claim);
    const incarnation = Math.max(this.#clock.wall(), claim.incarnation + 1);
    this.#setSelf({ ...this.#self, incarnation, refutation: 0 });
    this.#reports.renew({ nodeId: this.#self.nodeId, number: incarnation });
    this.#emit({ kind: 'renewed', member: this.#self });
  }

  #setSelf(self: Member): void {
    this.#self = self;
    this.#exchange.apply(self);
  }

  #declareDead(): void {
    const now = this.#clock.monotonic();
    if (now - this.#contacts.heardAt > 2 * this.#settings.probePeriodMs) return;
    for (const nodeId of this.#contacts.suspects) {
      const member = this.#exchange.table.get(nodeId);
      const suspicion = member && this.#contacts.suspicionOf(member);
      if (!suspicion || suspicion.failedRounds < MIN_FAILED_ROUNDS) continue;
      const waitMs = this.#isReachable(member.failureDomain)
        ? this.#settings.suspicionMs
        : this.#settings.domainSuspicionMs;
      if (now - suspicion.since < waitMs) continue;
      this.#learn({ ...member, state: 'dead' });
    }
  }

  #emit(event: MembershipEvent): void {
    for (const listener of this.#listeners) listener(event);
  }
}
