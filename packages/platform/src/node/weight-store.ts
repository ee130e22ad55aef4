import type { Closeable } from '@ragwortrudder/core';
import type { PlatformClientOptions } from '../types/platform-client-options.ts';
import { checkStatus } from '../utils/check-status.ts';
import { PlatformHttp } from './platform-http.ts';

/** Reads the platform's rate-limited weight store. */
export class WeightStore implements Closeable {
  readonly #http: PlatformHttp;

  constructor(options: PlatformClientOptions) {
    this.#http = new PlatformHttp(options);
  }

  /** Returns the description of the weights `name`; throws `PlatformRateExceeded` above the rate limit. */
  async describe(name: string): Promise<unknown> {
    const path = `weights/${encodeURIComponent(name)}`;
    const answer = await this.#http.call({ method: 'GET', path });
    checkStatus(answer, `weights ${name}`);
    return answer.body;
  }

  close(): Promise<void> {
    return this.#http.close();
  }
}
