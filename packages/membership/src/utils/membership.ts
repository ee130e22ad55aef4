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
import { ContactTracker } from './contact-tracker.ts';
import { DEFAULT_SETTINGS } from './default-settings.ts';
import { GossipExchange } from './gossip-exchange.ts';
import { isGoneState } from './is-gone-state.ts';
import { ProbeOrder } from './probe-order.ts';
import { shuffle } from './shuffle.ts';
import type { SoftState } from './soft-state.ts';

/** Seed addresses contacted per round by a node that has no other members. */
const SEEDS_PER_ROUND = 3;
/** Share of synchronizations that go to an address without a present member, to find lost members. */
const ABSENT_ADDRESS_SHARE = 0.25;
/** Members of the local failure domain that are notified directly of a planned leave. */
const LEAVE_FANOUT = 3;
/** Failed probe rounds of a suspect before it can be declared dead. */
const MIN_FAILED_ROUNDS = 2;

interface MessageOptions {
  readonly sync?: SyncRequest;
  /** Failure domain of the receiver, when known. */
  readonly failureDomain?: string;
}

/** Returns whether a reply comes from this or a later incarnation of the member, rather than from another node at the same address. */
function isFrom(reply: ProbeReply, member: Member): boolean {
  return reply.fromNode === member.nodeId && reply.fromIncarnation >= member.incarnation;
}

/**
 * SWIM-style membership of one node: probes other members, applies the updates piggybacked on probes, and gossips
 * the reports of a {@link SoftState}.
 */
export class Membership<Report> implements Closeable {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #transport: PeerTransport;
  readonly #settings: MembershipSettings;
  readonly #seeds: () => readonly string[];
  readonly #reports: SoftState<Report>;
  readonly #exchange: GossipExchange;
  readonly #contacts: ContactTracker;
  readonly #localProbeOrder: ProbeOrder;
  readonly #listeners = new Set<(event: MembershipEvent) => void>();
  #self: Member;
  #round = 0;
  #domainIndex = 0;
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
    this.#exchange = new GossipExchange({
      self: options.self,
      clock: options.clock,
      random: options.random,
      settings: this.#settings,
      reports: options.reports as unknown as SoftState<unknown>,
    });
    this.#contacts = new ContactTracker(options.clock);
    this.#localProbeOrder = new ProbeOrder(options.random);
    this.#self = { ...options.self, state: 'alive', refutation: 0 };
    this.#exchange.apply(this.#self);
  }

  /** The local member as published to other nodes. */
  get self(): Member {
    return this.#self;
  }

  /** All known members, including the local node and those that left or died. */
  get members(): readonly Member[] {
    return this.#exchange.registry.all;
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
    if (this.#wasPausedSince(this.#lastTickAt)) this.#contacts.restartSuspicions();
    this.#lastTickAt = startedAt;
    this.#round += 1;
    this.#exchange.prune();
    this.#exchange.queueOwnReport();
    await Promise.all([
      ...this.#probeTargets().map((member) => this.#probeMember(member)),
      this.#synchronize(),
    ]);
    if (this.#wasPausedSince(startedAt)) {
      this.#contacts.restartSuspicions();
      return;
    }
    this.#declareDead();
  }

  /** Handles a probe from another node and returns the reply. */
  handleProbe(message: ProbeMessage): ProbeReply {
    const sender = this.#exchange.registry.get(message.fromNode);
    this.#applyGossip(message.gossip);
    this.#recordSender(message.fromNode, message.fromIncarnation);
    const required = this.#requiredMembers(message, sender);
    const gossip = message.sync
      ? this.#withRequired(this.#exchange.answerSync(message.sync), required)
      : this.#exchange.gossip(required, sender?.failureDomain);
    return {
      fromNode: this.#self.nodeId,
      fromIncarnation: this.#self.incarnation,
      gossip,
      ...(message.sync && { buckets: this.#exchange.buckets }),
    };
  }

  /**
   * Probes a node on behalf of another.
   * @throws {@link UnknownPeer} if the target address belongs to no member.
   */
  async handleIndirectProbe({ target, message }: IndirectProbe): Promise<ProbeReply> {
    const known = this.members.some(({ peerAddress }) => peerAddress === target);
    if (!known) throw new UnknownPeer(target);
    return this.#transport.probe(target, message, this.#settings.probeTimeoutMs);
  }

  /** Returns whether an incarnation left, was declared dead, or was replaced by a newer one. Once true, this never becomes false. */
  isGone(incarnation: Incarnation): boolean {
    return this.#exchange.registry.isGone(incarnation);
  }

  /** Returns the reachability of each failure domain. */
  domainView(): readonly DomainView[] {
    const domains = new Map<string, Member[]>();
    for (const member of this.#exchange.registry.present) {
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

  /** Calls `listener` for every membership event; returns a function that unsubscribes it. */
  subscribe(listener: (event: MembershipEvent) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Announces the planned leave of this node and stops probing. */
  async leave(): Promise<void> {
    if (this.#stopped) return;
    this.#setSelf({ ...this.#self, state: 'left' });
    this.#stop();
    const others = shuffle(this.#others(), this.#random);
    const localMembers = others.filter(
      ({ failureDomain }) => failureDomain === this.#self.failureDomain,
    );
    const remoteMembers = new Map(others.map((member) => [member.failureDomain, member]));
    remoteMembers.delete(this.#self.failureDomain);
    const recipients = [...localMembers.slice(0, LEAVE_FANOUT), ...remoteMembers.values()];
    await Promise.all(
      recipients.map((member) => this.#send(member.peerAddress, this.#message([this.#self]))),
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
    return this.#exchange.registry.present.filter(({ nodeId }) => nodeId !== this.#self.nodeId);
  }

  #probeTargets(): readonly Member[] {
    const others = this.#others();
    const local = others.filter(({ failureDomain }) => failureDomain === this.#self.failureDomain);
    const suspects = shuffle(this.#contacts.suspects, this.#random)
      .slice(0, this.#settings.suspectsPerRound)
      .flatMap((nodeId) => this.#exchange.registry.get(nodeId) ?? []);
    const targets = [
      this.#localProbeOrder.next(local),
      ...this.#crossDomainTargets(others),
      ...suspects,
    ];
    return [...new Set(targets.filter((member) => member !== undefined))];
  }

  /** Returns one member of the next domain in round-robin order and one of each domain whose last direct probe failed. */
  #crossDomainTargets(others: readonly Member[]): readonly (Member | undefined)[] {
    const names = new Set(others.map(({ failureDomain }) => failureDomain));
    names.delete(this.#self.failureDomain);
    const domains = [...names].sort();
    const unresponsive = domains.filter((domain) => this.#contacts.failuresOf(domain) > 0);
    const isCrossDomainRound = this.#round % this.#settings.crossDomainRounds === 0;
    const scheduled = isCrossDomainRound
      ? domains[this.#domainIndex++ % domains.length]
      : undefined;
    const chosen = new Set(scheduled === undefined ? unresponsive : [scheduled, ...unresponsive]);
    return [...chosen].map((domain) => {
      const members = others.filter(({ failureDomain }) => failureDomain === domain);
      return shuffle(members, this.#random)[0];
    });
  }

  async #probeMember(member: Member): Promise<void> {
    const required = member.state === 'alive' ? [] : [member];
    const { failureDomain } = member;
    const reply = await this.#send(member.peerAddress, this.#message(required, { failureDomain }));
    if (reply && isFrom(reply, member)) return;
    this.#contacts.recordDirectFailure(member);
    if (await this.#probeIndirectly(member)) return;
    const current = this.#exchange.registry.get(member.nodeId);
    if (current?.incarnation !== member.incarnation || isGoneState(current.state)) return;
    this.#contacts.recordFailedRound(member);
    if (current.state === 'alive') this.#applyMember({ ...current, state: 'suspect' });
  }

  async #probeIndirectly(member: Member): Promise<boolean> {
    const others = this.#others().filter(({ nodeId }) => nodeId !== member.nodeId);
    const relays = shuffle(others, this.#random).slice(0, this.#settings.indirectProbes);
    const replies = await Promise.all(relays.map((relay) => this.#sendThroughRelay(relay, member)));
    return replies.includes(true);
  }

  async #sendThroughRelay(relay: Member, member: Member): Promise<boolean> {
    try {
      const reply = await this.#transport.probeThrough(
        relay.peerAddress,
        member.peerAddress,
        this.#message([member]),
        2 * this.#settings.probeTimeoutMs,
      );
      this.#applyGossip(reply.gossip);
      if (!isFrom(reply, member)) return false;
      this.#contacts.recordIndirectContact(member);
      return true;
    } catch {
      return false;
    }
  }

  async #synchronize(): Promise<void> {
    const others = this.#others();
    if (others.length === 0) {
      const seeds = shuffle(this.#absentAddresses(), this.#random).slice(0, SEEDS_PER_ROUND);
      await Promise.all(seeds.map((address) => this.#syncWith(address, true)));
      return;
    }
    if (this.#random.next() * this.#settings.syncRounds >= 1) return;
    const address = this.#syncAddress(others);
    if (address !== undefined) await this.#syncWith(address, false);
  }

  #syncAddress(others: readonly Member[]): string | undefined {
    const absent = this.#absentAddresses();
    const usesAbsent = absent.length > 0 && this.#random.next() < ABSENT_ADDRESS_SHARE;
    const addresses = usesAbsent ? absent : others.map(({ peerAddress }) => peerAddress);
    return addresses[Math.floor(this.#random.next() * addresses.length)];
  }

  /** Addresses of seeds and dead members at which no present member is known. */
  #absentAddresses(): readonly string[] {
    const dead = this.members.filter(({ state }) => state === 'dead');
    const present = new Set(this.#exchange.registry.present.map(({ peerAddress }) => peerAddress));
    const all = new Set([...this.#seeds(), ...dead.map(({ peerAddress }) => peerAddress)]);
    return [...all].filter((address) => !present.has(address));
  }

  async #syncWith(address: string, everything: boolean): Promise<void> {
    const nonAlive = this.members.filter(
      (member) => member.peerAddress === address && member.state !== 'alive',
    );
    const request = this.#exchange.syncRequest(everything);
    const reply = await this.#send(
      address,
      this.#message([this.#self, ...nonAlive], { sync: request }),
    );
    if (!reply?.buckets) return;
    const differences = this.#exchange.differingMembers(reply.buckets);
    if (differences.length > 0) await this.#send(address, this.#message(differences));
  }

  #message(required: readonly Member[], options: MessageOptions = {}): ProbeMessage {
    return {
      fromNode: this.#self.nodeId,
      fromIncarnation: this.#self.incarnation,
      gossip: this.#exchange.gossip(required, options.failureDomain),
      ...(options.sync && { sync: options.sync }),
    };
  }

  async #send(address: string, message: ProbeMessage): Promise<ProbeReply | undefined> {
    try {
      const reply = await this.#transport.probe(address, message, this.#settings.probeTimeoutMs);
      this.#applyGossip(reply.gossip, reply.buckets !== undefined);
      this.#recordSender(reply.fromNode, reply.fromIncarnation);
      this.#joined = true;
      return reply;
    } catch {
      return undefined;
    }
  }

  #recordSender(nodeId: string, incarnation: number): void {
    const sender = this.#exchange.registry.get(nodeId);
    if (sender?.incarnation === incarnation) this.#contacts.recordDirectContact(sender);
  }

  /**
   * Members that the reply to `message` must include: the local member if the sender mentioned it or is new, and
   * the sender's own entry if this node has it as not alive or under a newer incarnation.
   */
  #requiredMembers(message: ProbeMessage, sender: Member | undefined): readonly Member[] {
    const mentioned = message.gossip.members.some(({ nodeId }) => nodeId === this.#self.nodeId);
    const own = mentioned || !sender ? [this.#self] : [];
    const known = this.#exchange.registry.get(message.fromNode);
    const outdated =
      known && (known.state !== 'alive' || known.incarnation > message.fromIncarnation);
    return outdated ? [...own, known] : own;
  }

  #withRequired(gossip: Gossip, required: readonly Member[]): Gossip {
    const requiredIds = new Set(required.map(({ nodeId }) => nodeId));
    const rest = gossip.members.filter(({ nodeId }) => !requiredIds.has(nodeId));
    return { members: [...required, ...rest], reports: gossip.reports };
  }

  #applyGossip(gossip: Gossip, isSynced = false): void {
    for (const member of gossip.members) {
      if (member.nodeId === this.#self.nodeId) this.#handleSelfUpdate(member);
      else this.#applyMember(member, isSynced);
    }
    this.#exchange.mergeReports(gossip.reports);
  }

  #applyMember(member: Member, isSynced = false): void {
    const event = this.#exchange.apply(member, isSynced);
    if (!event) return;
    if (event.kind !== 'suspected') this.#contacts.clearSuspicion(member.nodeId);
    this.#emit(event);
  }

  /** Handles an update about the local member: refutes a suspicion, renews the incarnation, or stops if it was replaced. */
  #handleSelfUpdate(update: Member): void {
    if (this.#stopped || update.incarnation < this.#self.incarnation) return;
    if (update.incarnation > this.#self.incarnation && this.#joined) {
      this.#stop();
      this.#emit({ kind: 'replaced', member: update });
      return;
    }
    if (update.incarnation > this.#self.incarnation || isGoneState(update.state)) {
      this.#renewIncarnation(update);
      return;
    }
    if (update.state !== 'suspect' || update.refutation < this.#self.refutation) return;
    this.#setSelf({ ...this.#self, refutation: update.refutation + 1 });
  }

  #renewIncarnation(update: Member): void {
    this.#exchange.apply(update);
    const incarnation = Math.max(this.#clock.wall(), update.incarnation + 1);
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
    if (now - this.#contacts.lastContactAt > 2 * this.#settings.probePeriodMs) return;
    for (const nodeId of this.#contacts.suspects) {
      const member = this.#exchange.registry.get(nodeId);
      const suspicion = member && this.#contacts.suspicionOf(member);
      if (!suspicion || suspicion.failedRounds < MIN_FAILED_ROUNDS) continue;
      const waitMs = this.#isReachable(member.failureDomain)
        ? this.#settings.suspicionMs
        : this.#settings.domainSuspicionMs;
      if (now - suspicion.since < waitMs) continue;
      this.#applyMember({ ...member, state: 'dead' });
    }
  }

  #emit(event: MembershipEvent): void {
    for (const listener of this.#listeners) listener(event);
  }
}
