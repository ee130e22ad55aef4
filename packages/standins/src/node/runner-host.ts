import type { Closeable } from '@ragwortrudder/core';
import { UnknownName } from '../errors/unknown-name.ts';
import type { Runner } from '../types/runner.ts';
import { HttpServer } from './http-server.ts';

/** Hosts several runners in one process. Its control interface stays reachable while a runner refuses connections. */
export class RunnerHost<T extends Runner> implements Closeable {
  readonly #server = new HttpServer('runners');
  readonly #runners: ReadonlyMap<string, T>;

  constructor(runners: readonly T[], report: (runner: T) => unknown) {
    this.#runners = new Map(runners.map((runner) => [runner.id, runner]));
    this.#server.post('/control/runners/:id/faults', async (call) => {
      await this.#runner(call.params.id).setFault(call.body);
      return { status: 200, body: {} };
    });
    this.#server.get('/control/runners/:id', (call) => ({
      status: 200,
      body: report(this.#runner(call.params.id)),
    }));
    this.#server.get('/control/runners', () => ({
      status: 200,
      body: { runners: runners.map(report) },
    }));
  }

  get port(): number {
    return this.#server.port;
  }

  get runners(): readonly T[] {
    return [...this.#runners.values()];
  }

  async listen(host = '127.0.0.1', port = 0): Promise<void> {
    await Promise.all(this.runners.map((runner) => runner.listen()));
    await this.#server.listen(host, port);
  }

  async drain(graceMs: number): Promise<void> {
    await Promise.all(this.runners.map((runner) => runner.drain(graceMs)));
    await this.#server.drain(graceMs);
  }

  async close(): Promise<void> {
    await Promise.all(this.runners.map((runner) => runner.close()));
    await this.#server.close();
  }

  #runner(id = ''): T {
    const runner = this.#runners.get(id);
    if (!runner) throw new UnknownName(id);
    return runner;
  }
}
