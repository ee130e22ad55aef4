import { inject, injectable } from 'inversify';
import type { Random } from '@ragwortrudder/core';
import type { RequestInput } from '@ragwortrudder/requests';
import { prefixBlocks, createRoutingPolicy } from '@ragwortrudder/routing';
import type {
  FirstTokenEstimate,
  PolicyName,
  RoutingPolicy,
  RoutingRequest,
  RunnerView,
} from '@ragwortrudder/routing';
import type { Settings } from '@ragwortrudder/settings';
import type { Assignment } from '../../types/assignment.ts';
import { tokens } from '../../types/tokens.ts';
import { applicationPolicyOf } from '../../utils/application-policy-of.ts';
import { countTokens } from '../../utils/count-tokens.ts';
import { ReferenceSpeeds } from '../../utils/reference-speeds.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';
import { RunnerPool } from './runner-pool.ts';

interface EstimatedAssignment extends Omit<Assignment, 'expectedMs' | 'referenceMs'> {
  readonly estimate: FirstTokenEstimate;
}

/** Chooses the runner of each attempt. */
@injectable()
export class Dispatcher {
  readonly #pool: RunnerPool;
  readonly #moves: VersionMoves;
  readonly #random: Random;
  readonly #failureDomain: string;
  readonly #policyName: PolicyName;
  /** One policy instance for each service, since policies keep state about their choices. */
  readonly #policies = new Map<string, RoutingPolicy>();
  readonly #referenceSpeeds = new ReferenceSpeeds();

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.random) random: Random,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(VersionMoves) moves: VersionMoves,
  ) {
    this.#pool = pool;
    this.#moves = moves;
    this.#random = random;
    this.#failureDomain = settings.node.failureDomain;
    this.#policyName = settings.runners.policy;
  }

  /** Reserves a slot on a runner for the next attempt at `owned`; undefined if none is free. */
  assign(owned: OwnedRequest): Assignment | undefined {
    const { service } = owned.request;
    if (!this.#hasAvailable(this.#pool.views(service))) return undefined;
    const versions = this.#moves.versionsFor(service);
    if (versions.length === 1) this.#referenceSpeeds.forget(service);
    for (const version of versions) {
      const assignment = this.#assignVersion(owned, version);
      if (assignment) return this.#addReference(assignment, versions);
      if (versions.length > 1) this.#refundVersion(owned, version);
    }
    return undefined;
  }

  /** Describes `owned` for routing, including the tokens generated so far. */
  describe(owned: OwnedRequest, version: string): RoutingRequest {
    const { id, service, input } = owned.request;
    return {
      id,
      service,
      version,
      failureDomain: this.#failureDomain,
      ...describeInput(input, owned.events.tokens),
    };
  }

  /**
   * Adds the expected time at the reference speeds. During a move, the last of `versions` is the
   * one that serves until the move ends.
   */
  #addReference(
    { estimate, ...assignment }: EstimatedAssignment,
    versions: readonly string[],
  ): Assignment {
    const expectedMs = estimate.totalMs;
    if (versions.length === 1) return { ...assignment, expectedMs, referenceMs: expectedMs };
    const { request, runner } = assignment;
    const referenceMs = this.#referenceSpeeds.expectedMs({
      runner: this.#pool.view(runner),
      request,
      estimate,
      serving: this.#pool.views(request.service, versions.at(-1)),
    });
    return { ...assignment, expectedMs, referenceMs };
  }

  #assignVersion(owned: OwnedRequest, version: string): EstimatedAssignment | undefined {
    const candidates = this.#pool
      .views(owned.request.service, version)
      .filter((view) => this.#isAvailable(view));
    const request = this.describe(owned, version);
    const policy = this.#policyOf(owned);
    const preferred = candidates.filter(({ id }) => id === owned.attempts.preferredRunner);
    const options = {
      candidates: preferred.length > 0 ? preferred : candidates,
      request,
      random: this.#random,
      cache: this.#pool.cache,
    };
    const choice =
      policy.choose({ ...options, avoid: owned.attempts.avoidedRunners }) ?? policy.choose(options);
    const runner = choice && this.#pool.find(choice.runner.id);
    if (!choice || !runner?.limit.tryAcquire()) return undefined;
    return { runner, version, request, estimate: choice.estimate };
  }

  #policyOf({ request }: OwnedRequest): RoutingPolicy {
    const existing = this.#policies.get(request.service);
    if (existing) return existing;
    const policy = createRoutingPolicy(
      request.input.kind === 'model' ? this.#policyName : applicationPolicyOf(this.#policyName),
    );
    this.#policies.set(request.service, policy);
    return policy;
  }

  /** Refunds what the choice of `version` reserved, because none of its runners has capacity. */
  #refundVersion(owned: OwnedRequest, version: string): void {
    const { service, class: route } = owned.request;
    this.#moves.record({ service, version, route, load: 0, kind: 'excused' });
  }

  #hasAvailable(views: readonly RunnerView[]): boolean {
    return views.some((view) => this.#isAvailable(view));
  }

  #isAvailable(view: RunnerView): boolean {
    const limit = this.#pool.find(view.id)?.limit;
    return view.state === 'ready' && limit !== undefined && limit.inFlight < limit.limit;
  }
}

function describeInput(
  input: RequestInput,
  generated: readonly string[],
): Pick<RoutingRequest, 'blocks' | 'promptTokens'> {
  if (input.kind === 'application') return { blocks: [], promptTokens: 0 };
  const text = [input.prompt, ...generated].join(' ');
  return { blocks: prefixBlocks(text), promptTokens: countTokens(input.prompt) + generated.length };
}
