import { DecayingQuantile } from '@ragwortrudder/routing';

/** Fraction of the responses that take at most the expected time. */
const EXPECTED_FRACTION = 0.99;
/** Times the quantile: the next response may take longer than those before. */
const SAFETY_FACTOR = 1.25;
/** Number of responses from which their times say what the next one takes. */
const MIN_RESPONSES = 8;

/** How long the complete responses of each route take, from the arrival of a request on. */
export class ResponseTimes {
  readonly #byRoute = new Map<string, DecayingQuantile>();

  /** Records a response that was complete after `ms`. */
  record(route: string, ms: number): void {
    const times = this.#byRoute.get(route) ?? new DecayingQuantile();
    times.add(ms);
    this.#byRoute.set(route, times);
  }

  /** Time in which nearly every response of a route is complete, in milliseconds; undefined while unknown. */
  expectedMs(route: string): number | undefined {
    const times = this.#byRoute.get(route);
    if (!times || times.weight < MIN_RESPONSES) return undefined;
    const quantile = times.quantile(EXPECTED_FRACTION);
    return quantile === undefined ? undefined : quantile * SAFETY_FACTOR;
  }
}
