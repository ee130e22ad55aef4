import { inject, injectable } from 'inversify';
import type { z } from 'zod';
import { keysFind } from '../../types/methods/keys-find.ts';
import { keyOutcomeOf } from '../../utils/key-outcome-of.ts';
import { ClaimStore } from '../configuration/claim-store.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { ReplicaStore } from './replica-store.ts';
import { RequestRegistry } from './request-registry.ts';

const LOOKUP_TIMEOUT_MS = 1500;

type KeyLookupResult = z.infer<typeof keysFind.result>;

const ABSENT: KeyLookupResult = { word: 'absent' };

/** Looks up the state or outcome of the request under an idempotency key. */
@injectable()
export class KeyDirectory {
  readonly #requests: RequestRegistry;
  readonly #replicas: ReplicaStore;
  readonly #keyedRequests: KeyedRequests;
  readonly #claims: ClaimStore;
  readonly #client: PeerClient;
  readonly #peers: PeerDirectory;

  constructor(
    @inject(RequestRegistry) requests: RequestRegistry,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(ClaimStore) claims: ClaimStore,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(PeerMethods) methods: PeerMethods,
  ) {
    this.#requests = requests;
    this.#replicas = replicas;
    this.#keyedRequests = keyedRequests;
    this.#claims = claims;
    this.#client = client;
    this.#peers = peers;
    methods.serve(keysFind, ({ tenant, key }) => this.#findLocally(tenant, key));
  }

  /**
   * State of a key according to this node and all reachable peers; a final outcome takes precedence
   * over any other answer.
   */
  async find(tenant: string, key: string): Promise<KeyLookupResult> {
    const local = this.#findLocally(tenant, key);
    if (isFinalOutcome(local)) return local;
    const remote = await Promise.all(
      this.#peers.reachable.map(({ peerAddress }) => this.#queryPeer(peerAddress, tenant, key)),
    );
    const all = [local, ...remote];
    return (
      all.find(isFinalOutcome) ?? all.find(({ word }) => word !== 'absent') ?? this.#unresolved(key)
    );
  }

  async #queryPeer(address: string, tenant: string, key: string): Promise<KeyLookupResult> {
    const params = { tenant, key };
    return this.#client
      .call({ address, method: keysFind, params, timeoutMs: LOOKUP_TIMEOUT_MS })
      .catch(() => ABSENT);
  }

  #findLocally(tenant: string, key: string): KeyLookupResult {
    const owned = this.#requests.findByKey(tenant, key);
    if (owned) return { requestId: owned.request.id, ...keyOutcomeOf(owned.events.events) };
    const execution = this.#keyedRequests.executor.find(key);
    if (execution?.tenant === tenant) return toLookupResult(execution.state, execution.result);
    const replica = this.#replicas.findByKey(tenant, key);
    if (replica) return { requestId: replica.request.id, ...keyOutcomeOf(replica.events) };
    const claim = this.#claims.find(tenant, key);
    return claim ? toLookupResult(claim.phase, claim.result) : ABSENT;
  }

  /**
   * Result for a key that no reachable node has a record of. An issued key may have been used by an
   * executor that cannot be reached; a key chosen by the caller would be in the log.
   */
  #unresolved(key: string): KeyLookupResult {
    return this.#keyedRequests.executorOf(key) ? { word: 'unknown' } : ABSENT;
  }
}

function toLookupResult(state: string, result: unknown): KeyLookupResult {
  const withResult = result === undefined ? {} : { result };
  switch (state) {
    case 'completed':
    case 'failed':
    case 'not-run':
    case 'unknown':
      return { word: state, ...withResult };
    case 'reserved':
      return { word: 'unused' };
    default:
      return { word: 'pending' };
  }
}

function isFinalOutcome({ word }: KeyLookupResult): boolean {
  return word === 'completed' || word === 'failed' || word === 'not-run';
}
