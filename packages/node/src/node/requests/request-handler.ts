import { inject, injectable } from 'inversify';
import type { ClaimDecision, KeyDecision, Owner } from '@ragwortrudder/claims';
import type { RequestEvent } from '@ragwortrudder/requests';
import type { Service } from '@ragwortrudder/tickets';
import { Cancelled } from '../../errors/cancelled.ts';
import { ClaimUnavailable } from '../../errors/claim-unavailable.ts';
import { ClassUnknown } from '../../errors/class-unknown.ts';
import { ForwardedRefusal } from '../../errors/forwarded-refusal.ts';
import { InputMismatch } from '../../errors/input-mismatch.ts';
import { KeyRequired } from '../../errors/key-required.ts';
import { KeyReused } from '../../errors/key-reused.ts';
import { KeyUnusable } from '../../errors/key-unusable.ts';
import { NodeNotReady } from '../../errors/node-not-ready.ts';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import { TenantUnknown } from '../../errors/tenant-unknown.ts';
import { requestsSubmit } from '../../types/methods/requests-submit.ts';
import type { KeyedRequest } from '../../types/keyed-request.ts';
import type { NewRequest } from '../../types/new-request.ts';
import type { Submission } from '../../types/submission.ts';
import { tokens } from '../../types/tokens.ts';
import type { LiveIncarnation } from '../lifecycle/live-incarnation.ts';
import { recordedOutcomeEvents } from '../../utils/recorded-outcome-events.ts';
import { toFailure } from '../../utils/to-failure.ts';
import { toIncarnation } from '../../utils/to-incarnation.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { toRefusalData } from '../../utils/to-refusal-data.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { NodeLifecycle } from '../lifecycle/node-lifecycle.ts';
import { Metrics } from '../metrics/metrics.ts';
import { PeerMethods } from '../peers/peer-methods.ts';
import { KeyDirectory } from './key-directory.ts';
import { KeyForwarder } from './key-forwarder.ts';
import { KeyedRequests } from './keyed-requests.ts';
import type { OwnedRequest } from './owned-request.ts';
import { RequestFactory } from './request-factory.ts';
import { RequestRegistry } from './request-registry.ts';
import { ServiceGates } from './service-gates.ts';

/** Accepts or refuses requests; a refusal is immediate and states whether anything was run. */
@injectable()
export class RequestHandler {
  readonly #self: LiveIncarnation;
  readonly #life: NodeLifecycle;
  readonly #tickets: TicketStore;
  readonly #factory: RequestFactory;
  readonly #requests: RequestRegistry;
  readonly #gates: ServiceGates;
  readonly #keyedRequests: KeyedRequests;
  readonly #forwarder: KeyForwarder;
  readonly #keyDirectory: KeyDirectory;
  readonly #metrics: Metrics;
  /** Last pending submission under each scoped key. */
  readonly #pendingByKey = new Map<string, Promise<Submission>>();

  constructor(
    @inject(tokens.incarnation) self: LiveIncarnation,
    @inject(NodeLifecycle) life: NodeLifecycle,
    @inject(TicketStore) tickets: TicketStore,
    @inject(RequestFactory) factory: RequestFactory,
    @inject(RequestRegistry) requests: RequestRegistry,
    @inject(ServiceGates) gates: ServiceGates,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(KeyForwarder) forwarder: KeyForwarder,
    @inject(KeyDirectory) keyDirectory: KeyDirectory,
    @inject(PeerMethods) methods: PeerMethods,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#self = self;
    this.#life = life;
    this.#tickets = tickets;
    this.#factory = factory;
    this.#requests = requests;
    this.#gates = gates;
    this.#keyedRequests = keyedRequests;
    this.#forwarder = forwarder;
    this.#keyDirectory = keyDirectory;
    this.#metrics = metrics;
    methods.serve(requestsSubmit, (request) => this.#submitForPeer(request));
  }

  /**
   * Accepts a request from a caller, or finds the one that was accepted under the same key.
   * @throws a `Failure` with the reason if the request is refused.
   */
  async submit(request: NewRequest): Promise<Submission> {
    const service = this.#validate(request);
    if (service.idempotent) {
      this.#checkReady();
      return this.#accept(request, { idempotent: true });
    }
    if (request.key === undefined) throw new KeyRequired(request.service);
    return this.#submitInOrder({ ...request, key: request.key });
  }

  /**
   * Issues a key whose request only this node may run.
   * @throws {@link NodeNotReady} while the node accepts no requests.
   */
  issueKey(tenant: string): string {
    this.#checkReady();
    return this.#keyedRequests.executor.issue(tenant);
  }

  /** State or outcome of the request under a key. */
  async findKey(tenant: string, key: string): ReturnType<KeyDirectory['find']> {
    return this.#keyDirectory.find(tenant, key);
  }

  /** Cancels an idempotent request that this node owns; false if there is none to cancel. */
  cancel(tenant: string, id: string): boolean {
    const owned = this.#requests.find(id);
    if (owned?.request.tenant !== tenant || owned.ended || !owned.request.idempotent) return false;
    this.#gates.of(owned.request.service).withdraw(id);
    owned.fail(toOutcome(new Cancelled()), 'CANCEL');
    return true;
  }

  #checkReady(): void {
    if (!this.#life.ready) throw new NodeNotReady(this.#life.state);
  }

  #validate(request: NewRequest): Service {
    if (this.#life.starting) throw new NodeNotReady(this.#life.state);
    const service = this.#tickets.service(request.service);
    if (service.kind !== request.input.kind) throw new InputMismatch(request.service, service.kind);
    if (!service.classes.includes(request.class))
      throw new ClassUnknown(request.service, request.class);
    if (!this.#tickets.state.tenants[request.tenant]?.share)
      throw new TenantUnknown(request.tenant);
    return service;
  }

  /** Queues a request; it becomes visible to the caller once a replica holds it. */
  #accept(request: NewRequest, options: Parameters<RequestFactory['create']>[1]): Submission {
    const owned = this.#factory.create(request, options);
    this.#gates.of(request.service).offer(owned);
    this.#register(owned);
    return { kind: 'request', id: owned.request.id };
  }

  #register(owned: OwnedRequest): void {
    this.#requests.add(owned);
    this.#metrics.count('requests_accepted', {
      service: owned.request.service,
      tenant: owned.request.tenant,
    });
    owned.replication.flush().catch(() => undefined);
    queueMicrotask(() => {
      this.#gates.of(owned.request.service).dispatch();
    });
  }

  /** Submits requests under one key one after the other, so that later ones find the first. */
  async #submitInOrder(request: KeyedRequest): Promise<Submission> {
    const scopedKey = `${request.tenant}/${request.key}`;
    const previous = this.#pendingByKey.get(scopedKey);
    const current = (previous ?? Promise.resolve())
      .catch(() => undefined)
      .then(() => this.#submitKeyed(request));
    this.#pendingByKey.set(scopedKey, current);
    try {
      return await current;
    } finally {
      if (this.#pendingByKey.get(scopedKey) === current) this.#pendingByKey.delete(scopedKey);
    }
  }

  async #submitKeyed(request: KeyedRequest): Promise<Submission> {
    const existing = this.#requests.findByKey(request.tenant, request.key);
    if (existing) return this.#attachTo(existing, request);
    const executor = this.#keyedRequests.executorOf(request.key);
    if (executor) return this.#submitIssued(request);
    return this.#submitClaimed(request);
  }

  #attachTo(existing: OwnedRequest, request: KeyedRequest): Submission {
    if (this.#keyedRequests.digestOf(existing.request) !== this.#keyedRequests.digestOf(request))
      throw new KeyReused();
    return { kind: 'request', id: existing.request.id };
  }

  async #submitIssued(request: KeyedRequest): Promise<Submission> {
    const keyUse = this.#keyUse(request);
    if (!this.#keyedRequests.executor.find(request.key))
      return this.#resolveIssued(request, this.#keyedRequests.executor.accept(keyUse));
    const owned = this.#factory.create(request, { idempotent: false, keyKind: 'issued' });
    const isNew = this.#keyedRequests.executor.find(request.key)?.state === 'reserved';
    if (isNew) {
      this.#checkReady();
      this.#gates.of(request.service).offer(owned);
    }
    const decision = this.#keyedRequests.executor.accept(keyUse);
    if (decision.kind === 'run') {
      this.#register(owned);
      return { kind: 'request', id: owned.request.id };
    }
    this.#gates.of(request.service).withdraw(owned.request.id);
    return this.#resolveIssued(request, decision);
  }

  async #resolveIssued(request: KeyedRequest, decision: KeyDecision): Promise<Submission> {
    if (decision.kind === 'forward')
      return this.#forwarder.forward(request, toIncarnation(decision.to));
    if (decision.kind === 'answer')
      return this.#toAnswer(request.key, decision.word, decision.result);
    if (decision.kind === 'refuse')
      throw decision.reason === 'key-reused' ? new KeyReused() : new KeyUnusable(decision.reason);
    return this.#forwarder.resolve(request);
  }

  async #submitClaimed(request: KeyedRequest): Promise<Submission> {
    this.#checkReady();
    const keyUse = this.#keyUse(request);
    const decision = await this.#keyedRequests.claim(keyUse, request.service);
    if (decision.kind !== 'run') return this.#resolveClaimed(request, decision);
    const options = { idempotent: false, keyKind: 'claimed' } as const;
    const owned = this.#factory.create(request, options);
    try {
      this.#gates.of(request.service).offer(owned);
    } catch (error) {
      await this.#keyedRequests.finish(owned, 'not-run');
      throw error;
    }
    this.#register(owned);
    return { kind: 'request', id: owned.request.id };
  }

  async #resolveClaimed(
    request: KeyedRequest,
    decision: Exclude<ClaimDecision, { readonly kind: 'run' }>,
  ): Promise<Submission> {
    if (decision.kind === 'wait') return this.#forwardToOwner(request, decision.owner);
    if (decision.kind === 'answer')
      return this.#toAnswer(request.key, decision.word, decision.result);
    if (decision.kind === 'unknown') throw new OutcomeUnknown(request.key);
    if (decision.reason === 'key-reused') throw new KeyReused();
    throw new ClaimUnavailable(decision.retryAfterMs ?? 0);
  }

  async #forwardToOwner(request: KeyedRequest, owner: Owner): Promise<Submission> {
    if (this.#self.matches(toIncarnation(owner))) return this.#forwarder.resolve(request);
    return this.#forwarder.forward(request, toIncarnation(owner));
  }

  #toAnswer(key: string, outcome: 'completed' | 'failed' | 'not-run', result: unknown): Submission {
    return { kind: 'answer', events: recordedOutcomeEvents(key, outcome, result) };
  }

  #keyUse(request: KeyedRequest): {
    readonly tenant: string;
    readonly key: string;
    readonly requestDigest: string;
  } {
    return {
      tenant: request.tenant,
      key: request.key,
      requestDigest: this.#keyedRequests.digestOf(request),
    };
  }

  async #submitForPeer(request: KeyedRequest): Promise<SubmitResponse> {
    try {
      const submission = await this.submit(request);
      if (submission.kind === 'request') return { state: 'accepted', id: submission.id };
      return { state: 'answered', events: submission.events };
    } catch (error) {
      const failure = error instanceof ForwardedRefusal ? error : toFailure(error);
      return { state: 'refused', refusal: toRefusalData(failure) };
    }
  }
}

type SubmitResponse =
  | { readonly state: 'accepted'; readonly id: string }
  | { readonly state: 'answered'; readonly events: readonly RequestEvent[] }
  | { readonly state: 'refused'; readonly refusal: ReturnType<typeof toRefusalData> };
