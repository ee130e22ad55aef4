import type { Closeable } from '@ragwortrudder/core';
import * as z from 'zod';
import type { ClientOptions } from '../types/client-options.ts';
import { Vm } from '../types/vm.ts';
import { checkStatus } from '../utils/check-status.ts';
import { checked } from '../utils/checked.ts';
import { PlatformHttp } from './platform-http.ts';

const VmList = z.object({ vms: z.array(Vm).readonly() });

/** Reads the platform's lagging list of VMs. */
export class VmDirectory implements Closeable {
  readonly #http: PlatformHttp;

  constructor(options: ClientOptions) {
    this.#http = new PlatformHttp(options);
  }

  async list(): Promise<readonly Vm[]> {
    const answer = await this.#http.call({ method: 'GET', path: 'vms' });
    checkStatus(answer, 'list of VMs');
    return checked(VmList, answer.body).vms;
  }

  close(): Promise<void> {
    return this.#http.close();
  }
}
