import { inject, injectable } from 'inversify';
import type { z } from 'zod';
import { keysFind } from '../../types/methods/keys-find.ts';
import { wordOf } from '../../utils/word-of.ts';
import { ClaimBoard } from '../configuration/claim-board.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { ReplicaStore } from './replica-store.ts';
import { RequestTable } from './request-table.ts';

const FIND_TIMEOUT_MS = 1500;

type KeyFinding = z.infer<typeof keysFind.result>;

const ABSENT: KeyFinding = { word: 'absent' };

/** Looks up what became of the request under an idempotency key. */
@injectable()
export class KeyDirectory {
  readonly #table: RequestTable;
  readonly #replicas: ReplicaStore;
  readonly #keyed: KeyedRequests;
  readonly #claims: ClaimBoard;
  readonly #client: PeerClient;
  readonly #peers: PeerDirectory;

  constructor(
    @inject(RequestTable) table: RequestTable,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(KeyedRequests) keyed: KeyedRequests,
    @inject(ClaimBoard) claims: ClaimBoard,
    @inject(PeerClient) client: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(PeerMethods) methods: PeerMethods,
  ) {
    this.#table = table;
    this.#replicas = replicas;
    this.#keyed = keyed;
    this.#claims = claims;
    this.#client = client;
    this.#peers = peers;
    methods.serve(keysFind, ({ tenant, key }) => this.#findHere(tenant, key));
  }

  /** What this node or any that can be reached knows about a key; a final word wins. */
  async find(tenant: string, key: string): Promise<KeyFinding> {
    const here = this.#findHere(tenant, key);
    if (isFinalWord(here)) return here;
    const answers = await Promise.all(
      this.#peers.reachable.map(({ peerAddress }) => this.#ask(peerAddress, tenant, key)),
    );
    const all = [here, ...answers];
    return all.find(isFinalWord) ?? all.find(({ word }) => word !== 'absent') ?? this.#lost(key);
  }

  async #ask(address: string, tenant: string, key: string): Promise<KeyFinding> {
    const params = { tenant, key };
    return this.#client
      .call({ address, method: keysFind, params, timeoutMs: FIND_TIMEOUT_MS })
      .catch(() => ABSENT);
  }

  #findHere(tenant: string, key: string): KeyFinding {
    const owned = this.#table.findByKey(tenant, key);
    if (owned) return { requestId: owned.request.id, ...wordOf(owned.events.events) };
    const execution = this.#keyed.executor.find(key);
    if (execution?.tenant === tenant) return findingOf(execution.state, execution.result);
    const copy = this.#replicas.findByKey(tenant, key);
    if (copy) return { requestId: copy.request.id, ...wordOf(copy.events) };
    const claim = this.#claims.find(tenant, key);
    return claim ? findingOf(claim.phase, claim.result) : ABSENT;
  }

  /** An issued key whose executor cannot be asked may have been used; a caller's own key was not. */
  #lost(key: string): KeyFinding {
    return this.#keyed.executorOf(key) ? { word: 'unknown' } : ABSENT;
  }
}

function findingOf(state: string, result: unknown): KeyFinding {
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

function isFinalWord({ word }: KeyFinding): boolean {
  return word === 'completed' || word === 'failed' || word === 'not-run';
}
