import { randomBytes } from 'node:crypto';
import { inject, injectable } from 'inversify';
import type { Clock, Random } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import { EventLog, formatRequestId, nextEpoch } from '@ragwortrudder/requests';
import type { AcceptedRequest, RequestCopy } from '@ragwortrudder/requests';
import type { NewRequest } from '../../types/new-request.ts';
import { tokens } from '../../types/tokens.ts';
import { HashRing } from '../../utils/hash-ring.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { OwnedRequest } from './owned-request.ts';
import { ReplicaLinks } from './replica-links.ts';
import { Replication } from './replication.ts';

const SERIAL_BYTES = 9;
/**
 * Number of nodes over which one node spreads its replicas; limited so that updates to the same
 * node can share messages.
 */
const MAX_REPLICA_HOLDERS = 8;

interface CreateOptions {
  readonly idempotent: boolean;
  readonly keyKind?: 'claimed' | 'issued';
}

/** Creates the requests that this node owns. */
@injectable()
export class RequestFactory {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #self: LiveIncarnation;
  readonly #peers: PeerDirectory;
  readonly #replicaLinks: ReplicaLinks;
  readonly #metrics: Metrics;
  readonly #ring = new HashRing();

  constructor(
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(ReplicaLinks) replicaLinks: ReplicaLinks,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#clock = clock;
    this.#random = random;
    this.#self = self;
    this.#peers = peers;
    this.#replicaLinks = replicaLinks;
    this.#metrics = metrics;
  }

  /** Creates a request from a caller's submission. */
  create(newRequest: NewRequest, { idempotent, keyKind }: CreateOptions): OwnedRequest {
    const holder = this.#chooseHolder(new Set());
    const self = this.#self.current;
    const id = formatRequestId({
      owner: self.nodeId,
      incarnation: self.number,
      holder: holder?.nodeId,
      serial: randomBytes(SERIAL_BYTES).toString('base64url'),
    });
    const { tenant, service, class: requestClass, deadline, input, key } = newRequest;
    const request: AcceptedRequest = {
      id,
      tenant,
      service,
      class: requestClass,
      deadline,
      input,
      idempotent,
      acceptedAt: this.#clock.wall(),
      ...(key === undefined || idempotent ? {} : { key }),
      ...(keyKind ? { keyKind } : {}),
    };
    const events = new EventLog(id, nextEpoch(0, self.nodeId));
    events.add({ type: 'accepted', id });
    return this.#createOwned(request, events, holder);
  }

  /** Makes this node the owner of a request that another node owned. */
  adopt(copy: RequestCopy): OwnedRequest {
    const epoch = nextEpoch(copy.epoch, this.#self.current.nodeId);
    return this.#createOwned(
      copy.request,
      new EventLog(copy.request.id, epoch, copy.events),
      undefined,
    );
  }

  #createOwned(
    request: AcceptedRequest,
    events: EventLog,
    initialHolder: Member | undefined,
  ): OwnedRequest {
    let preferredHolder = initialHolder;
    const replication = new Replication({
      request,
      events,
      self: this.#self.current,
      links: this.#replicaLinks,
      metrics: this.#metrics,
      clock: this.#clock,
      chooseHolder: (excluded) => {
        const chosen = preferredHolder ?? this.#chooseHolder(excluded);
        preferredHolder = undefined;
        return chosen;
      },
      onSuperseded: () => {
        this.#metrics.count('requests_superseded');
        owned.transfer(replication.holder?.nodeId ?? '');
      },
    });
    const owned = new OwnedRequest({
      incarnation: this.#self.current,
      request,
      events,
      replication,
      metrics: this.#metrics,
      clock: this.#clock,
    });
    return owned;
  }

  /**
   * A random one of a few nodes in another failure domain of the same region; if there is none, in
   * another region, and last in the same failure domain.
   */
  #chooseHolder(excluded: ReadonlySet<string>): Member | undefined {
    const { self } = this.#peers;
    const candidates = this.#peers.available.filter(({ nodeId }) => !excluded.has(nodeId));
    const otherDomains = candidates.filter(
      ({ failureDomain }) => failureDomain !== self.failureDomain,
    );
    const sameRegion = otherDomains.filter(({ region }) => region === self.region);
    const pool = [sameRegion, otherDomains, candidates].find((members) => members.length > 0) ?? [];
    const holders = this.#ring.successors(self.nodeId, pool, {
      nameOf: ({ nodeId }) => nodeId,
      count: MAX_REPLICA_HOLDERS,
    });
    return holders[Math.floor(this.#random.next() * holders.length)];
  }
}
