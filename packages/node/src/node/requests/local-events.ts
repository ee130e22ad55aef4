import { setTimeout as sleep } from 'node:timers/promises';
import { inject, injectable } from 'inversify';
import type { z } from 'zod';
import { timerDelayMs } from '@ragwortrudder/core';
import { EventLog, ResumeDiverged, isFinal } from '@ragwortrudder/requests';
import type { EventPosition, RequestEvent } from '@ragwortrudder/requests';
import { requestsEvents } from '../../types/methods/requests-events.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import type { OwnedRequest } from './owned-request.ts';
import { ReplicaStore } from './replica-store.ts';
import { RequestRegistry } from './request-registry.ts';

type ReadResult = z.infer<typeof requestsEvents.result>;

interface ReadOptions {
  readonly id: string;
  readonly tenant: string;
  readonly after: EventPosition;
  /** Longest time to wait for the first event, in milliseconds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Reads the events of requests that this node owns, or of which it holds a finished replica. */
@injectable()
export class LocalEvents {
  readonly #requests: RequestRegistry;
  readonly #replicas: ReplicaStore;

  constructor(
    @inject(RequestRegistry) requests: RequestRegistry,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(PeerMethods) methods: PeerMethods,
  ) {
    this.#requests = requests;
    this.#replicas = replicas;
    methods.serve(requestsEvents, (params) => this.read(params));
  }

  /**
   * Committed events after a position; waits for the first one while this node owns an unfinished
   * request.
   */
  async read(options: ReadOptions): Promise<ReadResult> {
    const owned = this.#requests.find(options.id);
    if (!owned) return this.#readReplica(options);
    if (owned.request.tenant !== options.tenant) return { state: 'forbidden' };
    const available = readAvailable(owned, options.after);
    if (available) return available;
    await waitForChange(owned, options);
    return readAvailable(owned, options.after) ?? { state: 'here', events: [], finished: false };
  }

  /** Waits for `ms` milliseconds, or until `signal` aborts. */
  async pause(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined);
  }

  #readReplica({ id, tenant, after }: ReadOptions): ReadResult {
    const replica = this.#replicas.get(id);
    if (!replica) return { state: 'absent' };
    if (replica.request.tenant !== tenant) return { state: 'forbidden' };
    if (!isFinal(replica.events.at(-1))) return { state: 'replica' };
    const events = eventsAfter(new EventLog(id, replica.epoch, replica.events), after);
    return events ? { state: 'here', events, finished: true } : { state: 'diverged' };
  }
}

/**
 * Result that can be returned without waiting; undefined if this node owns the unfinished request
 * and has no new event.
 */
function readAvailable(owned: OwnedRequest, after: EventPosition): ReadResult | undefined {
  const events = eventsAfter(owned.events, after);
  const { finished } = owned.events;
  if (!events) return { state: 'diverged' };
  if (events.length > 0 || finished) return { state: 'here', events, finished };
  return owned.newOwner === undefined ? undefined : { state: 'moved', nodeId: owned.newOwner };
}

function eventsAfter(log: EventLog, after: EventPosition): readonly RequestEvent[] | undefined {
  try {
    return log.eventsAfter(after);
  } catch (error) {
    if (error instanceof ResumeDiverged) return undefined;
    throw error;
  }
}

async function waitForChange(owned: OwnedRequest, { waitMs, signal }: ReadOptions): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      unsubscribe();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, timerDelayMs(waitMs));
    const unsubscribe = owned.events.subscribe(finish);
    signal?.addEventListener('abort', finish);
  });
}
