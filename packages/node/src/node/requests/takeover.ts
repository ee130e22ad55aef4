import { inject, injectable } from 'inversify';
import { isFinal } from '@ragwortrudder/requests';
import type { RequestCopy } from '@ragwortrudder/requests';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import { requestsHandOver } from '../../types/methods/requests-hand-over.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { ReplicaStore } from './replica-store.ts';
import { RequestFactory } from './request-factory.ts';
import { RequestRegistry } from './request-registry.ts';
import { ServiceGates } from './service-gates.ts';

/** Makes this node the owner of requests whose owner is gone or hands them over. */
@injectable()
export class Takeover {
  readonly #self: LiveIncarnation;
  readonly #peers: PeerDirectory;
  readonly #replicas: ReplicaStore;
  readonly #factory: RequestFactory;
  readonly #requests: RequestRegistry;
  readonly #gates: ServiceGates;
  readonly #keyedRequests: KeyedRequests;
  readonly #metrics: Metrics;
  readonly #log: StateLog;

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(RequestFactory) factory: RequestFactory,
    @inject(RequestRegistry) requests: RequestRegistry,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#self = self;
    this.#peers = peers;
    this.#replicas = replicas;
    this.#factory = factory;
    this.#requests = requests;
    this.#gates = gates;
    this.#keyedRequests = keyedRequests;
    this.#metrics = metrics;
    this.#log = log;
    methods.serve(requestsHandOver, ({ copy: replica, transfer }) => {
      if (this.#requests.find(replica.request.id)) return { taken: true };
      this.#keyedRequests.receiveExecution(replica.request, replica.owner, transfer);
      this.#replicas.supersede(replica, this.#self.current);
      this.#takeOver(replica, 'handed-over');
      return { taken: true };
    });
  }

  /** Takes over the requests of which this node holds a replica and whose owner is gone. */
  check(): void {
    for (const id of this.#replicas.ownedBy((owner) => this.#peers.isGone(owner))) {
      const replica = this.#replicas.promote(id, this.#self.current);
      if (replica) this.#takeOver(replica, 'owner-gone');
    }
  }

  #takeOver(replica: RequestCopy, reason: 'handed-over' | 'owner-gone'): void {
    const owned = this.#factory.adopt(replica);
    this.#requests.add(owned);
    this.#metrics.count('requests_taken_over', { reason });
    this.#log.record({ kind: 'request', subject: replica.request.id, state: 'taken-over', reason });
    if (isFinal(replica.events.at(-1))) return;
    const { idempotent, keyKind, key = '' } = replica.request;
    if (!idempotent && keyKind === 'issued' && reason === 'owner-gone') {
      owned.fail(toOutcome(new OutcomeUnknown(key)), 'LOSE');
      return;
    }
    if (owned.events.tokens.length > 0) owned.attempts.continueFrom('reclaim');
    owned.replication.flush().catch(() => undefined);
    this.#gates.of(replica.request.service).resume(owned);
  }
}
