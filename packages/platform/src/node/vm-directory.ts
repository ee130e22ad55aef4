import type { Closeable } from '@ragwortrudder/core';
import * as z from 'zod';
import type { PlatformClientOptions } from '../types/platform-client-options.ts';
import { Vm } from '../types/vm.ts';
import { checkStatus } from '../utils/check-status.ts';
import { validateAnswer } from '../utils/validate-answer.ts';
import { PlatformHttp } from './platform-http.ts';

const VmList = z.object({ vms: z.array(Vm).readonly() });

/** Reads the platform's list of VMs, which lags behind their actual state. */
export class VmDirectory implements Closeable {
  readonly #http: PlatformHttp;

  constructor(options: PlatformClientOptions) {
    this.#http = new PlatformHttp(options);
  }

  async list(): Promise<readonly Vm[]> {
    const answer = await this.#http.call({ method: 'GET', path: 'vms' });
    checkStatus(answer, 'list of VMs');
    return validateAnswer(VmList, answer.body).vms;
  }

  close(): Promise<void> {
    return this.#http.close();
  }
}
