import type { Socket } from 'node:net';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

interface Arrival {
  readonly request: string;
  readonly at: number;
}

/** Runner that records when requests arrive and responds to each after the same time. */
export abstract class DelayedRunner {
  readonly arrivals: Arrival[] = [];
  readonly #runner: ScriptedRunner;

  constructor(responseMs: number) {
    this.#runner = new ScriptedRunner((socket, request) => {
      this.arrivals.push({ request: request.id, at: performance.now() });
      setTimeout(() => {
        this.respond(socket, request);
      }, responseMs);
    });
  }

  get port(): number {
    return this.#runner.port;
  }

  async listen(): Promise<this> {
    await this.#runner.listen();
    return this;
  }

  close(): Promise<void> {
    return this.#runner.close();
  }

  protected abstract respond(socket: Socket, request: ReceivedRequest): void;
}
