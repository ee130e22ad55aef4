import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import { RequestUnknown, ResumeDiverged, isFinal, parseRequestId } from '@ragwortrudder/requests';
import type { EventPosition, RequestEvent, RequestName } from '@ragwortrudder/requests';
import { Forbidden } from '../../errors/forbidden.ts';
import { requestsEvents } from '../../types/methods/requests-events.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../life/live-incarnation.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { LocalEvents } from './local-events.ts';

const POLL_WAIT_MS = 5000;
const POLL_MARGIN_MS = 1500;
const SEARCH_INTERVAL_MS = 300;
/** Time for which an owner or replica is searched before the caller is told to come back. */
const SEARCH_TIMEOUT_MS = 12_000;
/** Nodes that are asked besides those that the id names. */
const MAX_OTHER_NODES = 16;
/** What an answer says about the request; the larger counts. */
const RESULT_RANK = { absent: 0, silent: 1, diverged: 2, replica: 3, hint: 4, events: 5 } as const;

interface Subscription {
  readonly id: string;
  readonly tenant: string;
  readonly after: EventPosition;
  readonly signal: AbortSignal;
}

type ReadResult =
  | {
      readonly kind: 'events';
      readonly events: readonly RequestEvent[];
      readonly finished: boolean;
    }
  | { readonly kind: 'hint'; readonly nodeId: string }
  | { readonly kind: 'absent' }
  /** A node holds a replica and may take the request over. */
  | { readonly kind: 'replica' }
  | { readonly kind: 'diverged' }
  /** A node that may hold the request did not answer. */
  | { readonly kind: 'silent' };

/** Reads the events of a request wherever its owner or replica is. */
@injectable()
export class RequestLocator {
  readonly #self: LiveIncarnation;
  readonly #clock: Clock;
  readonly #client: PeerClient;
  readonly #peers: PeerDirectory;
  readonly #localEvents: LocalEvents;

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(tokens.clock) clock: Clock,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(LocalEvents) localEvents: LocalEvents,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#client = client;
    this.#peers = peers;
    this.#localEvents = localEvents;
  }

  /**
   * Yields the events after a position, to the last one, following the request from node to node.
   * @throws `RequestUnknown` or `ResumeDiverged` when the answer cannot be continued.
   */
  async *events(subscription: Subscription): AsyncGenerator<RequestEvent> {
    const name = parseRequestId(subscription.id);
    if (!name) throw new RequestUnknown(subscription.id, { mayReturn: false });
    let position = subscription.after;
    let hint: string | undefined = name.owner;
    let searchedSince: number | undefined;
    while (!subscription.signal.aborted) {
      const result = await this.#read({ ...subscription, after: position }, [
        hint,
        name.owner,
        name.holder,
      ]);
      hint = undefined;
      if (result.kind === 'events') {
        searchedSince = undefined;
        for (const event of result.events) {
          yield event;
          position = { epoch: event.epoch, number: event.number };
          if (isFinal(event)) return;
        }
        if (result.finished) return;
        continue;
      }
      const now = this.#clock.monotonic();
      searchedSince ??= now;
      if (result.kind === 'hint') hint = result.nodeId;
      if (now - searchedSince > SEARCH_TIMEOUT_MS) throw this.#notFound(subscription.id, result);
      const isMissing = result.kind === 'absent' || result.kind === 'diverged';
      if (isMissing && !this.#mayOwnerBeAlive(name)) {
        throw this.#notFound(subscription.id, result);
      }
      await this.#localEvents.pause(SEARCH_INTERVAL_MS, subscription.signal);
    }
  }

  /** Reads from this node, then from the nodes that may hold the request, the likeliest first. */
  async #read(
    subscription: Subscription,
    candidates: readonly (string | undefined)[],
  ): Promise<ReadResult> {
    const localResult = await this.#localEvents.read({ ...subscription, waitMs: POLL_WAIT_MS });
    if (localResult.state === 'here') return { kind: 'events', ...localResult };
    const hints = localResult.state === 'moved' ? [localResult.nodeId] : [];
    const others = this.#peers.reachable.slice(0, MAX_OTHER_NODES).map(({ nodeId }) => nodeId);
    let best: ReadResult =
      localResult.state === 'diverged' || localResult.state === 'replica'
        ? { kind: localResult.state }
        : { kind: 'absent' };
    for (const nodeId of new Set([...hints, ...candidates, ...others])) {
      if (nodeId === undefined || nodeId === this.#self.current.nodeId) continue;
      const response = await this.#readFrom(nodeId, subscription);
      if (response.kind === 'events' || response.kind === 'hint') return response;
      if (RESULT_RANK[response.kind] > RESULT_RANK[best.kind]) best = response;
    }
    return best;
  }

  async #readFrom(nodeId: string, { id, tenant, after }: Subscription): Promise<ReadResult> {
    const member = this.#peers.find(nodeId);
    if (!member || member.state === 'dead' || member.state === 'left') return { kind: 'absent' };
    try {
      const response = await this.#client.call({
        address: member.peerAddress,
        method: requestsEvents,
        params: { id, tenant, after, waitMs: POLL_WAIT_MS },
        timeoutMs: POLL_WAIT_MS + POLL_MARGIN_MS,
      });
      if (response.state === 'here') return { kind: 'events', ...response };
      if (response.state === 'moved') return { kind: 'hint', nodeId: response.nodeId };
      if (response.state === 'forbidden') throw new Forbidden('reading this request');
      return { kind: response.state };
    } catch (error) {
      if (error instanceof Forbidden) throw error;
      return { kind: 'silent' };
    }
  }

  /** True while the incarnation that accepted the request may be alive and within reach. */
  #mayOwnerBeAlive({ owner, incarnation }: RequestName): boolean {
    const ownerIncarnation = { nodeId: owner, number: incarnation };
    return !this.#self.is(ownerIncarnation) && !this.#peers.isGone(ownerIncarnation);
  }

  /** A node that was declared dead may be on the other side of a cut; one that left or started anew is not. */
  #mayBecomeReachable({ owner, incarnation, holder }: RequestName): boolean {
    const member = this.#peers.find(owner);
    const isOwnerEnded = member?.state === 'left' || (member?.incarnation ?? 0) > incarnation;
    const isHolderEnded = holder === undefined || this.#peers.find(holder)?.state !== 'dead';
    return (
      !(isOwnerEnded && isHolderEnded) && !this.#self.is({ nodeId: owner, number: incarnation })
    );
  }

  #notFound(id: string, result: ReadResult): RequestUnknown | ResumeDiverged {
    if (result.kind === 'diverged') return new ResumeDiverged(id);
    const name = parseRequestId(id);
    const isUnreachable = result.kind === 'silent' || result.kind === 'replica';
    const mayReturn = name !== undefined && (isUnreachable || this.#mayBecomeReachable(name));
    return new RequestUnknown(id, { mayReturn });
  }
}
