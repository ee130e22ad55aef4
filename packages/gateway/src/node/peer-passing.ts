import type { Address, CallerLimits } from '@ragwortrudder/catalog';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import { Refusal } from '../errors/refusal.ts';
import type { Dialect } from '../types/dialect.ts';
import type { ReceivedRequest } from '../types/received-request.ts';
import { PassingDialect } from '../utils/passing-dialect.ts';
import { PeerReach } from '../utils/peer-reach.ts';
import type { CallerChannel } from './caller-channel.ts';
import { CallerServer } from './caller-server.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import type { Intake } from './intake.ts';
import { PeerForwarder } from './peer-forwarder.ts';
import type { Peers } from './peers.ts';
import type { RunnerPool } from './runner-pool.ts';

interface PeerPassingOptions {
  readonly node: string;
  readonly failureDomain: string;
  /** Address at which peers reach this node. */
  readonly address: Address;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: Pick<Peers, 'reachable'>;
  readonly pool: () => RunnerPool;
  readonly intake: Intake;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly isStopping: () => boolean;
  readonly refuse: (refusal: Refusal, request: ReceivedRequest, channel: CallerChannel) => void;
  /** Serves a request that a peer has passed on. */
  readonly onRequest: (request: ReceivedRequest, channel: CallerChannel) => Promise<void>;
}

/**
 * Limits for requests of peers. A peer may have another configuration, according to which it has admitted
 * a request; what is refused here would be lost.
 */
const PASSED_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 8 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
const HTTP_UNAVAILABLE = 503;

/** Requests that nodes pass on to each other: those of this node, and those that it gets from its peers. */
export class PeerPassing implements Closeable {
  readonly reach: PeerReach;
  readonly forwarder: PeerForwarder;
  readonly #options: PeerPassingOptions;
  readonly #server: CallerServer<ReceivedRequest>;

  constructor(options: PeerPassingOptions) {
    this.#options = options;
    const { dialect, address, intake, log, metrics, clock, pool } = options;
    this.reach = new PeerReach(clock);
    this.forwarder = new PeerForwarder({
      ...options,
      reach: this.reach,
      dialectFor: (passed) => new PassingDialect(dialect, passed),
      reachOf: (service, home) => pool().reachOf(service, home),
    });
    this.#server = new CallerServer({
      address,
      dialect: new PassingDialect(dialect),
      intake,
      log,
      metrics,
      onRequest: (request, channel) => this.#serve(request, channel),
    });
    this.#server.setLimits(PASSED_LIMITS);
  }

  /** Requests of peers whose responses have not been sent completely. */
  get requestCount(): number {
    return this.#server.requestCount;
  }

  listen(): Promise<void> {
    return this.#server.listen();
  }

  /** Applies the limits of callers' requests where they are higher than those of peers. */
  setLimits({ bodyBytes }: CallerLimits): void {
    this.#server.setLimits({
      ...PASSED_LIMITS,
      bodyBytes: Math.max(bodyBytes, PASSED_LIMITS.bodyBytes),
    });
  }

  /** Forgets the peers that are not heard any more. */
  update(): void {
    this.reach.retain(new Set(this.#options.peers.reachable().map(({ id }) => id)));
  }

  async close(): Promise<void> {
    await Promise.all([this.#server.close(), this.forwarder.close()]);
  }

  async #serve(request: ReceivedRequest, channel: CallerChannel): Promise<void> {
    const { log, metrics, isStopping, refuse, onRequest } = this.#options;
    metrics.count('passed_to', { route: request.passed.route.name });
    log.routine('request-received-from-peer', { request: request.id, peer: request.passed.from });
    if (!isStopping()) {
      await onRequest(request, channel);
      return;
    }
    refuse(new Refusal('node-stopping', { status: HTTP_UNAVAILABLE }), request, channel);
  }
}
