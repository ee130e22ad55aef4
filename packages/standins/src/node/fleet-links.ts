import type { FleetLink } from '../types/fleet-link.ts';
import type { LinkReport } from '../types/link-report.ts';
import type { LinkSelection } from '../types/link-selection.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import { ControlClient } from './control-client.ts';

interface FleetLinksOptions {
  readonly links: readonly FleetLink[];
  /** Ports at which the relay listens, by name of link. */
  readonly ports: ReadonlyMap<string, number>;
  /** URL of the relay's links. */
  readonly url: string;
  /** Tells the failure domain of an end of a link. */
  readonly failureDomainOf: (end: string) => string;
}
interface LinkPage {
  readonly links: readonly LinkReport[];
}

/** Links of a fleet, which its relay can cut. */
export class FleetLinks {
  readonly #options: FleetLinksOptions;
  readonly #client = new ControlClient();

  constructor(options: FleetLinksOptions) {
    this.#options = options;
  }

  /** Addresses at which an entry node reaches others, by their own addresses. */
  routesFrom(entry: string): Readonly<Record<string, string>> {
    const { links, ports } = this.#options;
    const routes = links
      .filter((link) => link.from === entry)
      .map(({ name, target }) => [target, `127.0.0.1:${ports.get(name) ?? 0}`] as const);
    return Object.fromEntries(routes);
  }

  async report(): Promise<readonly LinkReport[]> {
    return (await this.#client.get<LinkPage>(this.#options.url)).links;
  }

  /** Sets the mode of the selected links. */
  async setMode(selection: LinkSelection, mode: RelayMode, delayMs: number): Promise<void> {
    const { links, url } = this.#options;
    const faults = links
      .filter((link) => this.#meets(link.from, selection.from))
      .filter((link) => this.#meets(link.to, selection.to))
      .map(({ name }) => ({ name, mode, delayMs }));
    await this.#client.post(url, { faults });
  }

  #meets(end: string, wanted: readonly string[] | undefined): boolean {
    if (!wanted) return true;
    return wanted.includes(end) || wanted.includes(this.#options.failureDomainOf(end));
  }
}
