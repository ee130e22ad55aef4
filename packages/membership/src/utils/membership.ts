import type { Closeable, Incarnation } from '@ragwortrudder/core';
import type { DomainView } from '../types/domain-view.ts';
import type { IndirectProbe } from '../types/indirect-probe.ts';
import type { Member } from '../types/member.ts';
import type { MembershipEvent } from '../types/membership-event.ts';
import type { MembershipOptions } from '../types/membership-options.ts';
import type { ProbeMessage } from '../types/probe-message.ts';
import type { ProbeReply } from '../types/probe-reply.ts';

/** Membership of one node. */
export declare class Membership<Report> implements Closeable {
  constructor(options: MembershipOptions<Report>);
  /** This node as the others see it. */
  get self(): Member;
  /** Every member known, this node and those gone included. */
  get members(): readonly Member[];
  /** Starts the probe timer. */
  start(): void;
  /** Runs one probe round. */
  tick(): Promise<void>;
  /** Answers a probe of another node. */
  handleProbe(message: ProbeMessage): ProbeReply;
  /** Probes a third node on behalf of another. */
  handleIndirectProbe(probe: IndirectProbe): Promise<ProbeReply>;
  /** True when that incarnation left, was declared dead, or was replaced by a newer one. Never becomes false again. */
  isGone(incarnation: Incarnation): boolean;
  /** Contact with each failure domain. */
  domainView(): readonly DomainView[];
  /** Calls `listener` for every change; returns a function that ends this. */
  subscribe(listener: (event: MembershipEvent) => void): () => void;
  /** Tells the others that this node leaves. */
  leave(): Promise<void>;
  close(): Promise<void>;
}
