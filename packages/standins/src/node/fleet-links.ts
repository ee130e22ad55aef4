import type { FleetLink } from '../types/fleet-link.ts';
import type { LinkReport } from '../types/link-report.ts';
import type { LinkSelection } from '../types/link-selection.ts';
import type { RelayMode } from '../types/relay-mode.ts';
import { ControlClient } from './control-client.ts';

interface FleetLinksOptions {
  readonly links: readonly FleetLink[];
  /** Ports on which the relay listens, keyed by link name. */
  readonly ports: ReadonlyMap<string, number>;
  /** URL of the control interface for the relay's links. */
  readonly url: string;
  /** Returns the failure domain of a source or destination of a link. */
  readonly failureDomainOf: (end: string) => string;
}
interface LinkPage {
  readonly links: readonly LinkReport[];
}

/** Controls the links that pass through the relay of a fleet. */
export class FleetLinks {
  readonly #options: FleetLinksOptions;
  readonly #client = new ControlClient();

  constructor(options: FleetLinksOptions) {
    this.#options = options;
  }

  /** Maps the addresses that an entry node connects to onto the relay addresses that lead there. */
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
      .filter((link) => this.#matches(link.from, selection.from))
      .filter((link) => this.#matches(link.to, selection.to))
      .map(({ name }) => ({ name, mode, delayMs }));
    await this.#client.post(url, { faults });
  }

  #matches(end: string, selected: readonly string[] | undefined): boolean {
    if (!selected) return true;
    return selected.includes(end) || selected.includes(this.#options.failureDomainOf(end));
  }
}
