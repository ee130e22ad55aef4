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
const SEARCH_PAUSE_MS = 300;
/** Time for which an owner or replica is searched before the caller is told to come back. */
const SEARCH_MS = 12_000;
/** Nodes that are asked besides those that the id names. */
const MAX_OTHERS = 16;
/** What an answer says about the request; the larger counts. */
const RANK = { absent: 0, silent: 1, diverged: 2, replica: 3, hint: 4, events: 5 } as const;

interface Subscription {
  readonly id: string;
  readonly tenant: string;
  readonly after: EventPosition;
  readonly signal: AbortSignal;
}

type Batch =
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
  readonly #local: LocalEvents;

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(tokens.clock) clock: Clock,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(LocalEvents) local: LocalEvents,
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#client = client;
    this.#peers = peers;
    this.#local = local;
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
      const batch = await this.#read({ ...subscription, after: position }, [
        hint,
        name.owner,
        name.holder,
      ]);
      hint = undefined;
      if (batch.kind === 'events') {
        searchedSince = undefined;
        for (const event of batch.events) {
          yield event;
          position = { epoch: event.epoch, number: event.number };
          if (isFinal(event)) return;
        }
        if (batch.finished) return;
        continue;
      }
      const now = this.#clock.monotonic();
      searchedSince ??= now;
      if (batch.kind === 'hint') hint = batch.nodeId;
      if (now - searchedSince > SEARCH_MS) throw this.#notFound(subscription.id, batch);
      const isLost = batch.kind === 'absent' || batch.kind === 'diverged';
      if (isLost && !this.#mayAnswer(name)) {
        throw this.#notFound(subscription.id, batch);
      }
      await this.#local.pause(SEARCH_PAUSE_MS, subscription.signal);
    }
  }

  /** Reads from this node, then from the nodes that may hold the request, the likeliest first. */
  async #read(subscription: Subscription, likely: readonly (string | undefined)[]): Promise<Batch> {
    const here = await this.#local.read({ ...subscription, waitMs: POLL_WAIT_MS });
    if (here.state === 'here') return { kind: 'events', ...here };
    const hints = here.state === 'moved' ? [here.nodeId] : [];
    const others = this.#peers.reachable.slice(0, MAX_OTHERS).map(({ nodeId }) => nodeId);
    let found: Batch =
      here.state === 'diverged' || here.state === 'replica'
        ? { kind: here.state }
        : { kind: 'absent' };
    for (const nodeId of new Set([...hints, ...likely, ...others])) {
      if (nodeId === undefined || nodeId === this.#self.current.nodeId) continue;
      const answer = await this.#ask(nodeId, subscription);
      if (answer.kind === 'events' || answer.kind === 'hint') return answer;
      if (RANK[answer.kind] > RANK[found.kind]) found = answer;
    }
    return found;
  }

  async #ask(nodeId: string, { id, tenant, after }: Subscription): Promise<Batch> {
    const member = this.#peers.find(nodeId);
    if (!member || member.state === 'dead' || member.state === 'left') return { kind: 'absent' };
    try {
      const answer = await this.#client.call({
        address: member.peerAddress,
        method: requestsEvents,
        params: { id, tenant, after, waitMs: POLL_WAIT_MS },
        timeoutMs: POLL_WAIT_MS + POLL_MARGIN_MS,
      });
      if (answer.state === 'here') return { kind: 'events', ...answer };
      if (answer.state === 'moved') return { kind: 'hint', nodeId: answer.nodeId };
      if (answer.state === 'forbidden') throw new Forbidden('reading this request');
      return { kind: answer.state };
    } catch (error) {
      if (error instanceof Forbidden) throw error;
      return { kind: 'silent' };
    }
  }

  /** True while the incarnation that accepted the request may be alive and within reach. */
  #mayAnswer({ owner, incarnation }: RequestName): boolean {
    const owned = { nodeId: owner, number: incarnation };
    return !this.#self.is(owned) && !this.#peers.isGone(owned);
  }

  /** A node that was declared dead may be on the other side of a cut; one that left or started anew is not. */
  #mayReturn({ owner, incarnation, holder }: RequestName): boolean {
    const member = this.#peers.find(owner);
    const isOwnerEnded = member?.state === 'left' || (member?.incarnation ?? 0) > incarnation;
    const isHolderEnded = holder === undefined || this.#peers.find(holder)?.state !== 'dead';
    return (
      !(isOwnerEnded && isHolderEnded) && !this.#self.is({ nodeId: owner, number: incarnation })
    );
  }

  #notFound(id: string, batch: Batch): RequestUnknown | ResumeDiverged {
    if (batch.kind === 'diverged') return new ResumeDiverged(id);
    const name = parseRequestId(id);
    const isOutOfReach = batch.kind === 'silent' || batch.kind === 'replica';
    const mayReturn = name !== undefined && (isOutOfReach || this.#mayReturn(name));
    return new RequestUnknown(id, { mayReturn });
  }
}
