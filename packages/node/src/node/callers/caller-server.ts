import { inject, injectable } from 'inversify';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { HttpServer } from '../http/http-server.ts';
import { Metrics } from '../metrics/metrics.ts';
import { OperatorRoutes } from './operator-routes.ts';
import { RequestRoutes } from './request-routes.ts';

/** HTTP server for tenants and operators. */
@injectable()
export class CallerServer implements Closeable {
  readonly #server: HttpServer;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(RequestRoutes) requests: RequestRoutes,
    @inject(OperatorRoutes) operators: OperatorRoutes,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#server = new HttpServer({
      name: 'ragwortrudder',
      ...settings.listen.callers,
      ...settings.limits,
      onFailure: (failure) => {
        metrics.count('refusals', { code: failure.code });
      },
    });
    requests.addTo(this.#server);
    operators.addTo(this.#server);
  }

  get port(): number {
    return this.#server.port;
  }

  async listen(): Promise<void> {
    await this.#server.listen();
  }

  /** Stops accepting connections; responses in progress continue. */
  stopAccepting(): void {
    this.#server.stopAccepting();
  }

  async close(): Promise<void> {
    await this.#server.close();
  }
}
