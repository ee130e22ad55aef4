import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '@ragwortrudder/core';
import { CloudApi, VmDirectory } from '@ragwortrudder/platform';
import { checkSettings } from '@ragwortrudder/settings';
import type { Settings } from '@ragwortrudder/settings';
import { Platform } from '@ragwortrudder/standins';
import type { PlatformOptions, VmRecord } from '@ragwortrudder/standins';
import { MixedSupply, ReclaimHistory } from '@ragwortrudder/supply';
import { ticketFold } from '@ragwortrudder/tickets';
import type { TicketState } from '@ragwortrudder/tickets';
import got from 'got';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { StateLog } from '../../packages/node/src/node/metrics/state-log.ts';
import { ReturningVms } from '../../packages/node/src/node/supply/returning-vms.ts';
import { SupplyTerm } from '../../packages/node/src/node/supply/supply-term.ts';
import type { SupplyTermOptions } from '../../packages/node/src/node/supply/supply-term-options.ts';
import type { JobLease } from '../../packages/node/src/types/job-lease.ts';
import { supplyVersions } from '../../packages/node/src/utils/supply-versions.ts';
import { exampleSettings } from '../settings/example-settings.ts';

const CHECK_MS = 20;
const UNUSED_ADDRESS = '127.0.0.1:9';

/**
 * Prices of reclaimable and on-demand VMs in three failure domains; reclaimable ones cost about a
 * third.
 */
export const PRICES = ['a', 'b', 'c'].flatMap((failureDomain, index) =>
  [true, false].map((reclaimable) => ({
    failureDomain,
    machineClass: 'standard',
    reclaimable,
    pricePerHour: (reclaimable ? 0.3 : 1) + index / 100,
  })),
);

/** Settings with short periods and timeouts for the platform at `address`. */
export function supplySettings(nodeId: string, address: string, supply = {}): Settings {
  return checkSettings(
    exampleSettings({
      'node.id': nodeId,
      'platform.url': `http://${address}`,
      'log.pollWaitMs': 100,
      supply: {
        periodMs: 50,
        leaseMs: 2000,
        leaseMarginMs: 400,
        settleMs: 100,
        listLagMs: 2000,
        returnAfterMs: 100,
        cloudCallsPerSecond: 500,
        weightLoadsPerSecond: 500,
        engineCheckMs: 100,
        maxStarts: 4,
        ...supply,
      },
    }),
  );
}

/** In-process platform whose VM list lags by 60 ms by default. */
export async function startPlatform(options: PlatformOptions = {}): Promise<Platform> {
  const platform = new Platform({
    vmLagMs: 60,
    cloudCallsPerSecond: 1000,
    prices: PRICES,
    ...options,
  });
  await platform.listen();
  return platform;
}

/** Calls the control interface of a stand-in. */
export async function control(address: string, path: string, json: object): Promise<void> {
  await got.post(`http://${address}/control/${path}`, { json });
}

/** All VMs of the platform, without the lag of its list. */
export async function vmsOf(platform: Platform): Promise<readonly VmRecord[]> {
  const answer = await got(`http://${platform.address}/control/vms`).json();
  return (answer as { readonly vms: readonly VmRecord[] }).vms;
}

/**
 * Configuration with one model service that requires `runners`; its supply is not managed when
 * undefined.
 */
export function ticketsOf(runners: number | undefined, more: object = {}): TicketState {
  const quotes = {
    ...{ kind: 'model', version: 'v1', fencing: true, idempotent: true, classes: ['chat'] },
    ...(runners === undefined ? {} : { capacity: { runners } }),
    ...more,
  };
  const ticket = { number: 1, against: 0, author: 'ops', services: { quotes } };
  const body = { kind: 'ticket', ticket };
  return ticketFold.apply(ticketFold.initial, {
    ...{ id: 'ticket-1', position: 0, offset: 0, time: 0, body },
  });
}

/** Waits until `test` holds; the time limit is that of the test runner. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(CHECK_MS);
}

/** Harness for one term of the supply job of `quotes`, under a lease that the test controls. */
export class TermHarness {
  readonly cloud: CloudApi;
  readonly metrics = new Metrics();
  readonly leaving = new Map<string, number>();
  readonly returning = new ReturningVms({
    leavingVms: [],
    markLeaving: (vmId, reclaimAt) => this.leaving.set(vmId, reclaimAt),
  });
  readonly lease: JobLease;
  isHeld = true;
  /** False when no runner boots on the VMs that are started. */
  vmsBoot = true;
  readonly term: SupplyTerm;
  readonly #directory: VmDirectory;

  constructor(address: string, fence: number, more: Partial<SupplyTermOptions> = {}) {
    const baseUrl = `http://${address}`;
    const settings = supplySettings('a', address);
    this.cloud = new CloudApi({ baseUrl, lookups: 1, timeoutMs: 500 });
    this.#directory = new VmDirectory({ baseUrl });
    this.lease = { fence, mayAct: () => this.isHeld, mayActUnfenced: () => this.isHeld };
    this.term = new SupplyTerm({
      ...{
        service: 'quotes',
        lease: this.lease,
        fence,
        earlierFences: [],
        jobs: 1,
        propagationMs: 0,
      },
      settings: settings.supply,
      policy: new MixedSupply(),
      history: new ReclaimHistory(),
      cloud: this.cloud,
      engines: { state: () => Promise.resolve({}), order: () => Promise.resolve({ kind: 'done' }) },
      runners: { load: () => Promise.resolve({ at: 0, running: 0, waiting: 0, leaving: false }) },
      returning: this.returning,
      clock: new SystemClock(),
      metrics: this.metrics,
      log: new StateLog(settings, this.metrics),
      signal: new AbortController().signal,
      ...more,
    });
  }

  /** Runs one step with the VMs that the platform lists now. */
  async step(tickets: TicketState): Promise<void> {
    const service = tickets.services.quotes?.service;
    if (!service) return;
    const listed = await this.#directory.list();
    const vms = listed
      .filter(({ labels }) => labels.service === 'quotes')
      .map((vm) => (this.vmsBoot ? { ...vm, address: vm.address || UNUSED_ADDRESS } : vm));
    const versions = supplyVersions(tickets, 'quotes');
    await this.term.step({ name: 'quotes', service, versions, vms, prices: PRICES });
  }

  /** Steps until `test` holds. */
  async steps(tickets: TicketState, condition: () => boolean | Promise<boolean>): Promise<void> {
    await until(async () => {
      await this.step(tickets);
      return condition();
    });
  }

  async close(): Promise<void> {
    await this.cloud.close();
    await this.#directory.close();
  }
}
