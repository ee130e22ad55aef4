import type { Clock, Incarnation } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import { nextEpoch } from '@ragwortrudder/requests';
import type {
  AcceptedRequest,
  EventLog,
  ReplicaUpdate,
  ReplicaVerdict,
  RequestCopy,
} from '@ragwortrudder/requests';
import { Superseded } from '../../errors/superseded.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { ReplicaLinks } from './replica-links.ts';

const MAX_HOLDER_ATTEMPTS = 3;

interface ReplicationOptions {
  readonly request: AcceptedRequest;
  readonly events: EventLog;
  readonly self: Incarnation;
  readonly links: Pick<ReplicaLinks, 'send'>;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Chooses the next node to hold the replica; undefined if there is none. */
  readonly chooseHolder: (excluded: ReadonlySet<string>) => Member | undefined;
  /** Called once another node has taken the request over. */
  readonly onSuperseded: () => void;
}

/**
 * Keeps the replica of one request up to date and commits events once the replica holder has them.
 * If no peer can be reached, events are committed without a replica and counted.
 */
export class Replication {
  readonly #options: ReplicationOptions;
  readonly #failedHolders = new Set<string>();
  #holder: Member | undefined;
  #replicatedCount: number;
  #flushing: Promise<void> | undefined;
  #isStopped = false;

  constructor(options: ReplicationOptions) {
    this.#options = options;
    this.#replicatedCount = 0;
  }

  /** Node that currently holds the replica. */
  get holder(): Member | undefined {
    return this.#holder;
  }

  /**
   * Replicates and commits all events added so far. Without new events it still places the request
   * on a holder.
   */
  async flush(): Promise<void> {
    do {
      this.#flushing ??= this.#flushOnce().finally(() => {
        this.#flushing = undefined;
      });
      await this.#flushing;
    } while (
      !this.#isStopped &&
      this.#options.events.committed < this.#options.events.events.length
    );
  }

  /** Everything that another node needs to continue the request. */
  copy(): RequestCopy {
    const { request, events, self } = this.#options;
    return {
      request,
      owner: self,
      epoch: events.epoch,
      events: events.events,
    };
  }

  /** Ends replication; if `release` is true, asks the holder to drop its replica. */
  stop(options: { readonly release: boolean }): void {
    this.#isStopped = true;
    if (options.release && this.#holder) this.#release(this.#holder);
  }

  async #flushOnce(): Promise<void> {
    const { events, metrics } = this.#options;
    if (this.#isStopped) return;
    const end = events.events.length;
    await this.#update(() => ({
      kind: 'append',
      id: this.#options.request.id,
      epoch: events.epoch,
      events: events.events.slice(this.#replicatedCount, end),
    }));
    if (!this.#holder) metrics.count('events_without_replica', {}, end - events.committed);
    this.#replicatedCount = end;
    events.commit(end);
  }

  /**
   * Sends the update to the holder; selects another holder if the current one does not accept the
   * update or the full copy.
   */
  async #update(createUpdate: () => ReplicaUpdate): Promise<void> {
    for (let attempt = 0; attempt < MAX_HOLDER_ATTEMPTS; attempt += 1) {
      if (!this.#holder) {
        await this.#selectHolder();
        return;
      }
      const verdict = await this.#sendTo(this.#holder, createUpdate());
      if (verdict === 'ok') return;
      if (verdict === 'missing' && (await this.#put(this.#holder))) return;
      this.#dropHolder(this.#holder);
    }
    await this.#selectHolder();
  }

  async #selectHolder(preferred?: Member): Promise<void> {
    for (let attempt = 0; attempt < MAX_HOLDER_ATTEMPTS; attempt += 1) {
      const member =
        (attempt === 0 ? preferred : undefined) ?? this.#options.chooseHolder(this.#failedHolders);
      if (!member) return;
      if (await this.#put(member)) {
        this.#holder = member;
        return;
      }
      this.#failedHolders.add(member.nodeId);
    }
  }

  async #put(member: Member): Promise<boolean> {
    const verdict = await this.#sendTo(member, { kind: 'put', copy: this.copy() });
    return verdict === 'ok';
  }

  async #sendTo(member: Member, update: ReplicaUpdate): Promise<ReplicaVerdict | undefined> {
    try {
      const verdict = await this.#options.links.send(member.peerAddress, update);
      if (verdict === 'superseded') this.#handleSuperseded();
      return verdict;
    } catch (error) {
      if (error instanceof Superseded) throw error;
      this.#options.metrics.count('replica_failures');
      return undefined;
    }
  }

  #handleSuperseded(): void {
    this.#isStopped = true;
    this.#options.onSuperseded();
    throw new Superseded(this.#options.request.id);
  }

  #dropHolder(member: Member): void {
    const { events, self } = this.#options;
    this.#holder = undefined;
    this.#failedHolders.add(member.nodeId);
    this.#release(member);
    events.raiseEpoch(nextEpoch(events.epoch, self.nodeId));
  }

  #release(member: Member): void {
    const { links, request, events } = this.#options;
    links
      .send(member.peerAddress, { kind: 'release', id: request.id, epoch: events.epoch })
      .catch(() => undefined);
  }
}
