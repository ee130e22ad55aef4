import { inject, injectable } from 'inversify';
import type { Closeable, Clock, Incarnation, Random } from '@ragwortrudder/core';
import { Membership, SoftState } from '@ragwortrudder/membership';
import type { Member, MembershipEvent } from '@ragwortrudder/membership';
import type { Settings } from '@ragwortrudder/settings';
import { membershipProbe } from '../../types/methods/membership-probe.ts';
import { membershipProbeThrough } from '../../types/methods/membership-probe-through.ts';
import { Report } from '../../types/report.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerClient } from './peer-client.ts';
import { PeerMethods } from './peer-methods.ts';

/** Cluster membership and the reports that nodes publish about themselves. */
@injectable()
export class PeerDirectory implements Closeable {
  readonly #membership: Membership<Report>;
  readonly #reports: SoftState<Report>;
  readonly #self: LiveIncarnation;
  readonly #seeds = new Set<string>();

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(tokens.incarnation) incarnation: LiveIncarnation,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(StateLog) log: StateLog,
  ) {
    this.#self = incarnation;
    this.#reports = new SoftState({
      origin: incarnation.current,
      isValid: (value): value is Report => Report.safeParse(value).success,
    });
    for (const seed of settings.seeds) this.#seeds.add(seed);
    this.#membership = new Membership({
      self: {
        nodeId: settings.node.id,
        incarnation: incarnation.current.number,
        failureDomain: settings.node.failureDomain,
        region: settings.node.region,
        peerAddress: settings.advertise.peers,
        callerAddress: settings.advertise.callers,
      },
      clock,
      random,
      reports: this.#reports,
      seeds: () => [...this.#seeds],
      settings: settings.membership,
      transport: {
        probe: (address, message, timeoutMs) =>
          client.call({ address, method: membershipProbe, params: message, timeoutMs }),
        probeThrough: (via, target, message, timeoutMs) =>
          client.call({
            address: via,
            method: membershipProbeThrough,
            params: { target, message },
            timeoutMs,
          }),
      },
    });
    methods.serve(membershipProbe, (message) => this.#membership.handleProbe(message));
    methods.serve(membershipProbeThrough, (probe) => this.#membership.handleIndirectProbe(probe));
    this.#membership.subscribe(({ kind, member }) => {
      if (kind === 'renewed') incarnation.renew(member.incarnation);
      log.record({ kind: 'member', subject: member.nodeId, state: kind });
    });
  }

  /** This node's own membership entry. */
  get self(): Member {
    return this.#membership.self;
  }

  /** All known members, including this node. */
  get members(): readonly Member[] {
    return this.#membership.members;
  }

  /** Other nodes that are alive and accept requests. */
  get available(): readonly Member[] {
    return this.members.filter(
      (member) =>
        member.nodeId !== this.#self.current.nodeId &&
        member.state === 'alive' &&
        this.#reports.get(member.nodeId)?.value.draining !== true,
    );
  }

  /**
   * True if no available node has a lower id. The node with the lowest id does the jobs that need
   * no agreement between nodes.
   */
  get hasLowestId(): boolean {
    return this.available.every(({ nodeId }) => nodeId > this.#self.current.nodeId);
  }

  /** Other nodes that may still respond: those that are alive or suspect. */
  get reachable(): readonly Member[] {
    return this.members.filter(
      (member) =>
        member.nodeId !== this.#self.current.nodeId &&
        (member.state === 'alive' || member.state === 'suspect'),
    );
  }

  /** Latest reports of all nodes, including this one. */
  get reports(): readonly { readonly nodeId: string; readonly value: Report }[] {
    return this.#reports.entries;
  }

  /** Member `nodeId`, whether or not it is alive. */
  find(nodeId: string): Member | undefined {
    return this.members.find((member) => member.nodeId === nodeId);
  }

  /** True when the incarnation has ended or was declared dead. */
  isGone(incarnation: Incarnation): boolean {
    return this.#membership.isGone(incarnation);
  }

  /** Adds the address of a peer through which this node can join. */
  addSeed(address: string): void {
    this.#seeds.add(address);
  }

  /** Publishes `report` to the other nodes; an urgent one spreads as fast as membership changes. */
  publish(report: Report, options: { readonly urgent: boolean }): void {
    this.#reports.publish(report, options);
  }

  /** Calls `listener` for each membership change; returns a function that unsubscribes it. */
  subscribe(listener: (event: MembershipEvent) => void): () => void {
    return this.#membership.subscribe(listener);
  }

  /** Failure domains, and whether this node has contact with each. */
  domains(): ReturnType<Membership<Report>['domainView']> {
    return this.#membership.domainView();
  }

  start(): void {
    this.#membership.start();
  }

  async leave(): Promise<void> {
    await this.#membership.leave();
  }

  async close(): Promise<void> {
    await this.#membership.close();
  }
}
