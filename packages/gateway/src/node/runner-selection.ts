import type { RunnerEntry, Service } from '@ragwortrudder/catalog';
import { placeApplicationRequest, placeModelRequest } from '@ragwortrudder/routing';
import type { HomeRegions, PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';
import type { ChosenRunner } from '../types/chosen-runner.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { PassedRequest } from '../types/passed-request.ts';
import type { PlacementSurvey } from '../types/placement-survey.ts';
import { FIXED_OVERHEAD_MS } from '../utils/fixed-overhead-ms.ts';
import type { TriedRunners } from '../utils/tried-runners.ts';

interface RunnerSelectionOptions extends Pick<
  ForwarderOptions,
  'failureDomain' | 'clock' | 'random' | 'directory' | 'pool' | 'rollouts' | 'sessions'
> {
  readonly service: Service;
  readonly placement: PlacementRequest;
  readonly tried: TriedRunners;
  /** Regions in which the request may be served. */
  readonly home: HomeRegions;
  /** The request may run more than once. */
  readonly isRepeatable: boolean;
  /** What the node that passed the request on has done about it; undefined for a caller's request. */
  readonly passed?: PassedRequest;
}

interface RunnerQuery {
  readonly isAllowed: (entry: RunnerEntry) => boolean;
  /** Only connections that are open are used, also those that may be lost. */
  readonly usesOpen: boolean;
}

/** Chooses the runners that a request is sent to. */
export class RunnerSelection {
  readonly #options: RunnerSelectionOptions;
  /** A roll-out sends this request to the target version. */
  readonly #goesToTarget: boolean;

  constructor(options: RunnerSelectionOptions) {
    this.#options = options;
    this.#goesToTarget = options.rollouts.drawTarget(options.service.name);
  }

  /** A runner that was not tried. */
  choose(isAllowed: (entry: RunnerEntry) => boolean = () => true): ChosenRunner | undefined {
    const { tried } = this.#options;
    return this.#choose({
      isAllowed: (entry) => !tried.has(entry.id) && isAllowed(entry),
      usesOpen: false,
    });
  }

  /** The runner that the request would be sent to first, at a service with engines. */
  survey(): PlacementSurvey | undefined {
    const candidates = this.#candidates({ isAllowed: () => true, usesOpen: false });
    const chosen = this.#chooseEngine(candidates);
    return chosen && { chosen, candidates };
  }

  /** A runner with an open connection, for a request that has lost one and may have no other way. */
  chooseOpen(): ChosenRunner | undefined {
    const { tried } = this.#options;
    if (!tried.hasLostConnection) return undefined;
    const isAllowed = ({ id }: RunnerEntry): boolean => tried.mayUseOpen(id);
    const chosen = this.#choose({ isAllowed, usesOpen: true });
    return chosen && { ...chosen, usesOpen: true };
  }

  #choose(query: RunnerQuery): ChosenRunner | undefined {
    const { service, directory, random, failureDomain } = this.#options;
    const candidates = this.#candidates(query);
    if (service.engine) return this.#chooseEngine(candidates);
    const id = placeApplicationRequest(failureDomain, candidates, random);
    const entry = id === undefined ? undefined : directory.find(id);
    return entry && { entry, expectedMs: FIXED_OVERHEAD_MS, prefillTokens: 0, slowness: 1 };
  }

  /** A request that a roll-out gives to the target version is not sent there again after a failure. */
  #candidates({ isAllowed, usesOpen }: RunnerQuery): readonly PlacementCandidate[] {
    const { pool, service, rollouts, directory, tried, isRepeatable, home, random } = this.#options;
    const session = service.engine ? this.#options.placement.session : '';
    const candidatesOf = (isTarget: boolean): readonly PlacementCandidate[] =>
      this.#preferLost(
        pool.candidates(service, {
          isAllowed: (entry) =>
            home.allowsRunner(entry.failureDomain) &&
            rollouts.accepts(entry, isTarget) &&
            isAllowed(entry),
          isRepeatable,
          usesOpen,
          sampling: { random, session, lastRunner: this.#lastRunner },
        }),
      );
    const hasOther = directory
      .ofService(service.name)
      .filter((entry) => !pool.isEvacuated(entry) && home.allowsRunner(entry.failureDomain))
      .some((entry) => rollouts.accepts(entry, false));
    if (!hasOther) return candidatesOf(true);
    const target = this.#goesToTarget && tried.size === 0 ? candidatesOf(true) : [];
    return target.length > 0 ? target : candidatesOf(false);
  }

  /** The node that passed a request on sends the others of its requests to the runners that it reaches. */
  #preferLost(candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
    const lost = this.#options.passed?.lost;
    if (!lost) return candidates;
    const preferred = candidates.filter(({ id }) => lost.includes(id));
    return preferred.length > 0 ? preferred : candidates;
  }

  /** Runner that this node last sent the request's session to. */
  get #lastRunner(): string | undefined {
    const { service, sessions, clock, placement } = this.#options;
    return service.engine ? sessions.find(placement.session, clock.monotonic()) : undefined;
  }

  #chooseEngine(candidates: readonly PlacementCandidate[]): ChosenRunner | undefined {
    const { directory, random, placement } = this.#options;
    const lastRunner = this.#lastRunner;
    const request = lastRunner === undefined ? placement : { ...placement, lastRunner };
    const placed = placeModelRequest(request, candidates, random);
    const entry = placed && directory.find(placed.id);
    if (!entry) return undefined;
    const { firstTokenMs, prefillTokens, slowness } = placed;
    return { entry, expectedMs: firstTokenMs, prefillTokens, slowness };
  }
}
