import { RequestOrder, TeamShares } from '@ragwortrudder/admission';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { ServiceGate } from '../types/service-gate.ts';

type RequestGatesOptions = Pick<ForwarderOptions, 'clock' | 'pool'>;

/** Order of the requests of each service. */
export class RequestGates {
  readonly #options: RequestGatesOptions;
  readonly #gates = new Map<string, ServiceGate>();

  constructor(options: RequestGatesOptions) {
    this.#options = options;
  }

  /** Order of the requests of a service. */
  of(service: string): ServiceGate {
    const known = this.#gates.get(service);
    if (known) return known;
    const { clock, pool } = this.#options;
    const shares = new TeamShares();
    const order = new RequestOrder({
      clock,
      prefillMsPerToken: () => pool.prefillRate(service).msPerToken,
      isOverShare: (team) => shares.isOverShare(team),
    });
    const gate: ServiceGate = { order, shares };
    this.#gates.set(service, gate);
    return gate;
  }

  /** Drops the services that are not configured any more. */
  retain(services: ReadonlySet<string>): void {
    for (const name of this.#gates.keys()) {
      if (!services.has(name)) this.#gates.delete(name);
    }
  }
}
