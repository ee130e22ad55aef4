import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { GroupCommit, LogFollower } from '@ragwortrudder/log';
import type { Log } from '@ragwortrudder/log';
import { parseTicket, ticketFold, ticketStatus } from '@ragwortrudder/tickets';
import type { TicketState, TicketStatus } from '@ragwortrudder/tickets';

interface ConfigurationOptions {
  readonly log: Log;
  readonly failureDomain: string;
  readonly seed: number;
}

/** One process's replica of the configuration: submits tickets and follows the log for those of others. */
export class Configuration implements Closeable {
  readonly #follower: LogFollower<TicketState>;
  readonly #writer: GroupCommit;
  readonly #failureDomain: string;

  constructor({ log, failureDomain, seed }: ConfigurationOptions) {
    const random = new SeededRandom(seed);
    this.#failureDomain = failureDomain;
    this.#follower = new LogFollower({ log, fold: ticketFold, clock: new SystemClock(), random });
    this.#writer = new GroupCommit({ log, follower: this.#follower, random });
    this.#follower.start();
  }

  /** Returns the version that serves `service`. */
  versionOf(service: string): string | undefined {
    return this.#follower.state.services[service]?.service?.version;
  }

  /** Publishes a ticket and returns its status once it has been read back from the log. */
  async submit(input: unknown): Promise<TicketStatus> {
    const ticket = parseTicket(input);
    const id = `ticket-${ticket.number}-${ticket.author}`;
    await this.#writer.write({ kind: 'ticket', ticket }, { id });
    return this.status(ticket.number);
  }

  status(number: number): TicketStatus {
    const { state, next } = this.#follower;
    return ticketStatus(state, number, { [this.#failureDomain]: next });
  }

  async close(): Promise<void> {
    await this.#writer.close();
    await this.#follower.close();
  }
}
