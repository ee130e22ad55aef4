import type { Address, Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import { PeriodicTask } from '@ragwortrudder/core';
import type { Clock, Closeable, Random } from '@ragwortrudder/core';
import type { HomeRegions } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import type { PassedRequest } from '../types/passed-request.ts';
import { choosePeer } from '../utils/choose-peer.ts';
import { fittingIds } from '../utils/fitting-ids.ts';
import type { PeerReach } from '../utils/peer-reach.ts';
import { PeerSilence } from '../utils/peer-silence.ts';
import type { CallerChannel } from './caller-channel.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';
import type { Intake } from './intake.ts';
import type { Peers } from './peers.ts';
import { RunnerAgent } from './runner-agent.ts';
import { RunnerAttempt } from './runner-attempt.ts';

interface PeerForwarderOptions {
  readonly node: string;
  readonly failureDomain: string;
  readonly dialectFor: (passed: PassedRequest) => Dialect;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: Pick<Peers, 'reachable'>;
  readonly reach: PeerReach;
  /** Runners of a service, and those among them that this node cannot reach. */
  readonly reachOf: (
    service: string,
    home: HomeRegions,
  ) => {
    readonly runners: readonly string[];
    readonly lost: ReadonlySet<string>;
    readonly lostIds: ReadonlySet<string>;
  };
  readonly intake: Intake;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

interface PassedOnRequest {
  readonly request: CallerRequest;
  readonly channel: CallerChannel;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  /** Regions in which the request may be served, and to whose nodes it may be sent. */
  readonly home: HomeRegions;
  readonly progress: Pick<PassedRequest, 'sends' | 'isUsageCounted' | 'lastRunner'>;
  readonly remainingMs: number;
  readonly isRepeatable: boolean;
  readonly mayHaveRun: boolean;
  /** What the caller is told if no peer takes the request. */
  readonly refusal: Refusal;
}

interface PeerQuery {
  readonly service: string;
  readonly home: HomeRegions;
}

interface Offer {
  readonly peer: Peer;
  /** Monotonic time, in milliseconds. */
  readonly deadlineAt: number;
}

interface Peer {
  readonly id: string;
  readonly address: Address;
}

/** Peers that a request is offered to. */
const MAX_PEERS = 3;
const CHECK_PERIOD_MS = 200;
/** Bytes of the runners that a peer is told to prefer; a half of the header that has them. */
const MAX_LOST_BYTES = 6_000;
const HTTP_OK = 200;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
/** Causes with which a peer rejects a request that another one may serve. */
const NEXT_PEER_CAUSES: ReadonlySet<string> = new Set([
  'runner-unreachable',
  'node-busy',
  'memory-full',
  'node-stopping',
  'no-configuration',
]);

/** Passes requests on to peers that reach runners which this node cannot reach. */
export class PeerForwarder implements Closeable {
  readonly #options: PeerForwarderOptions;
  readonly #agents = new Map<string, RunnerAgent>();

  constructor(options: PeerForwarderOptions) {
    this.#options = options;
  }

  /** A peer reaches a runner of the service that this node does not reach. */
  mayPassOn(service: string, home: HomeRegions): boolean {
    return this.#choose({ service, home }, new Set()) !== undefined;
  }

  /**
   * Passes a request on until a peer has answered it. Throws a `Refusal` that has to be sent to the caller.
   */
  async passOn(passed: PassedOnRequest): Promise<void> {
    const { channel, request } = passed;
    const tried = new Set<string>();
    let { mayHaveRun } = passed;
    const deadlineAt = this.#options.clock.monotonic() + passed.remainingMs;
    while (tried.size < MAX_PEERS) {
      const peer = this.#choose({ service: passed.service.name, home: passed.home }, tried);
      if (!peer) break;
      tried.add(peer.id);
      const outcome = await this.#send(passed, { peer, deadlineAt });
      if (outcome.kind === 'answered') {
        if (channel.hasBegun || !channel.respond(outcome.response)) {
          throw failedAfter(outcome, channel.fault);
        }
      }
      if (outcome.kind === 'answered' || outcome.kind === 'relayed' || channel.isDisconnected) {
        return;
      }
      if (outcome.kind === 'ended') {
        throw new Refusal('time-out', { status: HTTP_GATEWAY_TIMEOUT });
      }
      if (outcome.kind === 'broken') {
        // The peer may have used up all attempts.
        mayHaveRun = true;
        break;
      }
      if (outcome.kind === 'refused' && !NEXT_PEER_CAUSES.has(outcome.head.rejection ?? '')) {
        throw rejectionOf(outcome, { mayHaveRun: mayHaveRun || channel.hasBegun, peer: peer.id });
      }
      this.#options.reach.avoid(peer.id);
    }
    if (!mayHaveRun && !channel.hasBegun) throw passed.refusal;
    throw new Refusal('runner-broken', {
      status: HTTP_BAD_GATEWAY,
      inputs: { request: request.id, peersTried: tried.size },
    });
  }

  close(): Promise<void> {
    for (const agent of this.#agents.values()) agent.destroy();
    return Promise.resolve();
  }

  #choose({ service, home }: PeerQuery, tried: ReadonlySet<string>): Peer | undefined {
    const { reachOf, peers, reach, failureDomain, random } = this.#options;
    const { runners, lost } = reachOf(service, home);
    if (lost.size === 0) return undefined;
    const candidates = peers
      .reachable()
      .map((peer) => ({ ...peer, ...reach.of(peer.id) }))
      .filter(({ id, isAvoided }) => !tried.has(id) && !isAvoided)
      .filter((peer) => {
        // Older builds do not keep to home regions.
        return home.isAnywhere || (peer.keepsHomeRegions && home.allowsNode(peer.failureDomain));
      });
    return choosePeer({ peers: candidates, runners, lost, failureDomain, random });
  }

  async #send(passed: PassedOnRequest, { peer, deadlineAt }: Offer): Promise<AttemptOutcome> {
    const { clock, reach, log, metrics, intake, node, dialectFor, peers, reachOf, random } =
      this.#options;
    const { request, channel, route, service, team, home, progress } = passed;
    const sentAt = clock.monotonic();
    if (deadlineAt <= sentAt) return { kind: 'ended' };
    const silence = new PeerSilence(clock);
    const attempt = new RunnerAttempt({
      dialect: dialectFor({
        from: node,
        route,
        service,
        ...(team ? { team: teamOf(team) } : {}),
        ...progress,
        lost: fittingIds([...reachOf(service.name, home).lostIds], {
          maxBytes: MAX_LOST_BYTES,
          random,
        }),
      }),
      agent: this.#agentOf(peer.id),
      intake,
      request,
      metadata: {
        runner: peer satisfies Pick<RunnerEntry, 'id' | 'address'>,
        remainingMs: deadlineAt - sentAt,
        team: undefined,
        priority: undefined,
        lastEventId: channel.lastEventId ?? request.lastEventId,
      },
      ...(route.kind === 'stream' ? { sink: channel } : {}),
      onHead: () => undefined,
      onProgress: () => {
        silence.record(true);
      },
    });
    const deadline = setTimeout(() => {
      attempt.abort({ kind: 'ended' });
    }, deadlineAt - sentAt);
    // A peer that is gone has lost the request. A response that has begun has nowhere else to go.
    const check = new PeriodicTask({
      periodMs: CHECK_PERIOD_MS,
      run: () => {
        if (!passed.isRepeatable || channel.hasBegun) return;
        silence.record(peers.reachable().some(({ id }) => id === peer.id));
        if (!silence.isFaulty) return;
        attempt.abort({ kind: 'broken', reason: 'peer not heard', isConnectionLost: false });
      },
      onFailure: (error) => {
        log.notable('task-failed', { task: 'peer-check', reason: String(error) });
      },
    });
    check.start();
    channel.onDisconnect(() => {
      attempt.abort({ kind: 'ended' });
    });
    reach.addPassed(peer.id, 1);
    const outcome = await attempt.outcome;
    reach.addPassed(peer.id, -1);
    clearTimeout(deadline);
    void check.close();
    metrics.count('passed_on', { outcome: outcome.kind });
    const status = outcome.kind === 'answered' ? outcome.response.head.status : HTTP_OK;
    log.notable('request-passed-on', {
      request: request.id,
      route: route.name,
      peer: peer.id,
      outcome: outcome.kind,
      ...(outcome.kind === 'answered' || outcome.kind === 'relayed' ? { status } : {}),
      ...(outcome.kind === 'refused' ? { cause: outcome.head.rejection } : {}),
      ...(outcome.kind === 'broken' ? { reason: outcome.reason } : {}),
      sends: progress.sends,
      afterMs: Math.round(clock.monotonic() - sentAt),
    });
    return outcome;
  }

  #agentOf(peer: string): RunnerAgent {
    const known = this.#agents.get(peer);
    if (known) return known;
    const agent = new RunnerAgent({ maxSockets: Infinity });
    this.#agents.set(peer, agent);
    return agent;
  }
}

function teamOf({ name, priority, allowedRegions }: Team): NonNullable<PassedRequest['team']> {
  return {
    name,
    ...(priority === undefined ? {} : { priority }),
    ...(allowedRegions === undefined ? {} : { allowedRegions }),
  };
}

/** A stream that has begun cannot end with another response, nor with one that cannot be written. */
function failedAfter(
  { response }: Extract<AttemptOutcome, { readonly kind: 'answered' }>,
  reason: string | undefined,
): Refusal {
  return new Refusal('runner-broken', {
    status: HTTP_BAD_GATEWAY,
    inputs: { peerStatus: response.head.status, reason },
  });
}

function rejectionOf(
  { head }: Extract<AttemptOutcome, { readonly kind: 'refused' }>,
  { mayHaveRun, peer }: { readonly mayHaveRun: boolean; readonly peer: string },
): Refusal {
  if (mayHaveRun) {
    return new Refusal('runner-broken', { status: HTTP_BAD_GATEWAY, inputs: { peer } });
  }
  return new Refusal('rejected-by-peer', {
    status: HTTP_UNAVAILABLE,
    ...(head.retryAfterMs === undefined ? {} : { retryAfterMs: head.retryAfterMs }),
    inputs: { peer, peerCause: head.rejection },
  });
}
