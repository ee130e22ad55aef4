import { setTimeout as sleep } from 'node:timers/promises';
import type { Closeable } from '@ragwortrudder/core';
import * as z from 'zod';
import { NotFound } from '../errors/not-found.ts';
import { PlatformUnavailable } from '../errors/platform-unavailable.ts';
import { UnexpectedAnswer } from '../errors/unexpected-answer.ts';
import { VmRefused } from '../errors/vm-refused.ts';
import type { CloudApiOptions } from '../types/cloud-api-options.ts';
import { ReclaimNoticePage } from '../types/reclaim-notice-page.ts';
import { Price } from '../types/price.ts';
import type { VmRequest } from '../types/vm-request.ts';
import { checkStatus } from '../utils/check-status.ts';
import { validateAnswer } from '../utils/validate-answer.ts';
import { PlatformHttp } from './platform-http.ts';

const DEFAULT_LOOKUPS = 3;
const DEFAULT_LOOKUP_DELAY_MS = 200;

const StartedVm = z.object({ id: z.string() });
const PriceList = z.object({ prices: z.array(Price).readonly() });

/** Starts and stops VMs and reads reclaim notices and prices. */
export class CloudApi implements Closeable {
  readonly #http: PlatformHttp;
  readonly #lookups: number;
  readonly #lookupDelayMs: number;

  constructor(options: CloudApiOptions) {
    this.#http = new PlatformHttp(options);
    this.#lookups = options.lookups ?? DEFAULT_LOOKUPS;
    this.#lookupDelayMs = options.lookupDelayMs ?? DEFAULT_LOOKUP_DELAY_MS;
  }

  /**
   * Starts a VM and returns its identifier. If the reply is lost, the VM is looked up by the
   * identifier of the request. After a `PlatformUnavailable` without `notRun` the VM may have started:
   * repeat the request with the same identifier.
   */
  async startVm(request: VmRequest): Promise<string> {
    try {
      return await this.#start(request);
    } catch (error) {
      if (!isOutcomeUnknown(error)) throw error;
      const id = await this.#lookUp(request.requestId);
      if (id === undefined) throw error;
      return id;
    }
  }

  /** Returns the identifier of the VM that a request started; undefined if the platform reports none. */
  async findStarted(requestId: string): Promise<string | undefined> {
    const path = `vms/requests/${encodeURIComponent(requestId)}`;
    try {
      const answer = await this.#http.call({ method: 'GET', path });
      checkStatus(answer, 'start request');
      return validateAnswer(StartedVm, answer.body).id;
    } catch (error) {
      if (error instanceof NotFound) return undefined;
      throw error;
    }
  }

  /** Stops a VM; a VM that no longer exists counts as stopped. */
  async stopVm(id: string): Promise<void> {
    const path = `vms/${encodeURIComponent(id)}`;
    const answer = await this.#http.call({ method: 'DELETE', path });
    if (answer.status !== 404) checkStatus(answer, 'VM');
  }

  /** Returns the reclaim notices with a sequence number above `after`. */
  async notices(after: number): Promise<ReclaimNoticePage> {
    const answer = await this.#http.call({ method: 'GET', path: 'notices', query: { after } });
    checkStatus(answer, 'notices');
    return validateAnswer(ReclaimNoticePage, answer.body);
  }

  async prices(): Promise<readonly Price[]> {
    const answer = await this.#http.call({ method: 'GET', path: 'prices' });
    checkStatus(answer, 'prices');
    return validateAnswer(PriceList, answer.body).prices;
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #start(request: VmRequest): Promise<string> {
    const answer = await this.#http.call({ method: 'POST', path: 'vms', body: request });
    if (answer.status === 409) throw new VmRefused(request.failureDomain, request.machineClass);
    checkStatus(answer, 'VMs');
    return validateAnswer(StartedVm, answer.body).id;
  }

  async #lookUp(requestId: string): Promise<string | undefined> {
    for (let attempt = 0; attempt < this.#lookups; attempt += 1) {
      if (attempt > 0) await sleep(this.#lookupDelayMs);
      const id = await this.findStarted(requestId).catch(() => undefined);
      if (id !== undefined) return id;
    }
    return undefined;
  }
}

function isOutcomeUnknown(error: unknown): boolean {
  if (error instanceof UnexpectedAnswer) return true;
  return error instanceof PlatformUnavailable && !error.notRun;
}
