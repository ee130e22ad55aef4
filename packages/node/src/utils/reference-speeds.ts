import { estimateFirstToken } from '@ragwortrudder/routing';
import type { FirstTokenEstimate, RoutingRequest, RunnerView } from '@ragwortrudder/routing';

type Speeds = Pick<RunnerView, 'prefillRate' | 'decodeStepMs' | 'serviceTimeMs'>;

interface ReferenceInput {
  readonly runner: RunnerView;
  readonly request: RoutingRequest;
  readonly estimate: FirstTokenEstimate;
  /** Runners of the version that serves until the rollout ends. */
  readonly serving: readonly RunnerView[];
}

/**
 * Expected times by which the versions of a rollout are compared. They are calculated from the
 * speeds that the runners of the serving version had when the rollout began. With speeds learned
 * from its own runners, a slow version would always meet its expected times and never be detected.
 */
export class ReferenceSpeeds {
  readonly #speeds = new Map<string, Speeds>();

  /**
   * Expected time to the first token or the response of `request` at the serving version's speeds.
   */
  expectedMs({ runner, request, estimate, serving }: ReferenceInput): number {
    const speeds = this.#speeds.get(request.service) ?? medianSpeeds(serving);
    if (!speeds) return estimate.totalMs;
    this.#speeds.set(request.service, speeds);
    if (runner.kind === 'application') return speeds.serviceTimeMs + runner.networkMs;
    return estimateFirstToken({ ...runner, ...speeds }, request, estimate.cachedTokens).totalMs;
  }

  /** Forgets the speeds of a service whose rollout has ended. */
  forget(service: string): void {
    this.#speeds.delete(service);
  }
}

function medianSpeeds(views: readonly RunnerView[]): Speeds | undefined {
  if (views.length === 0) return undefined;
  const median = (name: keyof Speeds): number => {
    const sorted = views.map((view) => view[name]).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  };
  return {
    prefillRate: median('prefillRate'),
    decodeStepMs: median('decodeStepMs'),
    serviceTimeMs: median('serviceTimeMs'),
  };
}
