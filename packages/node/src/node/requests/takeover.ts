import { inject, injectable } from 'inversify';
import { isFinal } from '@ragwortrudder/requests';
import type { RequestCopy } from '@ragwortrudder/requests';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import { requestsHandOver } from '../../types/methods/requests-hand-over.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../life/live-incarnation.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { Metrics } from '../metrics/metrics.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { ReplicaStore } from './replica-store.ts';
import { RequestFactory } from './request-factory.ts';
import { RequestTable } from './request-table.ts';
import { ServiceGates } from './service-gates.ts';

/** Makes this node the owner of requests whose owner has ended or gives them away. */
@injectable()
export class Takeover {
  readonly #self: LiveIncarnation;
  readonly #peers: PeerDirectory;
  readonly #replicas: ReplicaStore;
  readonly #factory: RequestFactory;
  readonly #table: RequestTable;
  readonly #gates: ServiceGates;
  readonly #keyed: KeyedRequests;
  readonly #metrics: Metrics;
  readonly #log: StateLog;

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(ReplicaStore) replicas: ReplicaStore,
    @inject(RequestFactory) factory: RequestFactory,
    @inject(RequestTable) table: RequestTable,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyed: KeyedRequests,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
    @inject(StateLog) log: StateLog,
  ) {
    this.#self = self;
    this.#peers = peers;
    this.#replicas = replicas;
    this.#factory = factory;
    this.#table = table;
    this.#gates = gates;
    this.#keyed = keyed;
    this.#metrics = metrics;
    this.#log = log;
    methods.serve(requestsHandOver, ({ copy, transfer }) => {
      if (this.#table.find(copy.request.id)) return { taken: true };
      this.#keyed.receive(copy.request, copy.owner, transfer);
      this.#replicas.supersede(copy, this.#self.current);
      this.#own(copy, 'handed-over');
      return { taken: true };
    });
  }

  /** Takes over the requests whose replicas are held here and whose owners are gone. */
  check(): void {
    for (const id of this.#replicas.ownedBy((owner) => this.#peers.isGone(owner))) {
      const copy = this.#replicas.promote(id, this.#self.current);
      if (copy) this.#own(copy, 'owner-gone');
    }
  }

  #own(copy: RequestCopy, reason: 'handed-over' | 'owner-gone'): void {
    const owned = this.#factory.adopt(copy);
    this.#table.add(owned);
    this.#metrics.count('requests_taken_over', { reason });
    this.#log.record({ kind: 'request', subject: copy.request.id, state: 'taken-over', reason });
    if (isFinal(copy.events.at(-1))) return;
    const { idempotent, keyKind, key = '' } = copy.request;
    if (!idempotent && keyKind === 'issued' && reason === 'owner-gone') {
      owned.fail(toOutcome(new OutcomeUnknown(key)), 'LOSE');
      return;
    }
    if (owned.events.tokens.length > 0) owned.attempts.continueFrom('reclaim');
    owned.replication.flush().catch(() => undefined);
    this.#gates.of(copy.request.service).resume(owned);
  }
}
