import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import { RequestUnknown, ResumeDiverged, isFinal, parseRequestId } from '@ragwortrudder/requests';
import type { EventPosition, RequestEvent, RequestIdParts } from '@ragwortrudder/requests';
import { Forbidden } from '../../errors/forbidden.ts';
import { requestsEvents } from '../../types/methods/requests-events.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { LocalEvents } from './local-events.ts';

const POLL_WAIT_MS = 5000;
const POLL_MARGIN_MS = 1500;
const SEARCH_INTERVAL_MS = 300;
/** Longest search for an owner or replica before the caller is told to retry. */
const SEARCH_TIMEOUT_MS = 12_000;
/** Number of nodes that are asked in addition to those that the request id names. */
const MAX_OTHER_NODES = 16;
/** Precedence of the results of several nodes; the one with the highest rank is used. */
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
  /** A node holds an unfinished replica and may take the request over. */
  | { readonly kind: 'replica' }
  | { readonly kind: 'diverged' }
  /** A node that may hold the request did not respond. */
  | { readonly kind: 'silent' };

/** Reads the events of a request from whichever node owns it or holds its replica. */
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
   * Yields the events after a position up to the final one, following the request when it moves to
   * another node.
   * @throws `RequestUnknown` or `ResumeDiverged` if the answer cannot be continued.
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

  /** Reads from this node, then from the nodes that may hold the request, the most likely first. */
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

  /** True while the incarnation that accepted the request may be alive and reachable. */
  #mayOwnerBeAlive({ owner, incarnation }: RequestIdParts): boolean {
    const ownerIncarnation = { nodeId: owner, number: incarnation };
    return !this.#self.matches(ownerIncarnation) && !this.#peers.isGone(ownerIncarnation);
  }

  /**
   * True if the owner or the replica holder may become reachable again. A node that was declared
   * dead may be behind a network partition; one that left or restarted is not.
   */
  #mayBecomeReachable({ owner, incarnation, holder }: RequestIdParts): boolean {
    const member = this.#peers.find(owner);
    const isOwnerEnded = member?.state === 'left' || (member?.incarnation ?? 0) > incarnation;
    const isHolderEnded = holder === undefined || this.#peers.find(holder)?.state !== 'dead';
    return (
      !(isOwnerEnded && isHolderEnded) &&
      !this.#self.matches({ nodeId: owner, number: incarnation })
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
