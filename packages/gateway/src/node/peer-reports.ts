import type { SharedQuota } from '@ragwortrudder/admission';
import type { Address } from '@ragwortrudder/catalog';
import type { NodeReport } from '../types/node-report.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import type { DemandMeter } from '../utils/demand-meter.ts';
import type { LoadBoard } from '../utils/load-board.ts';
import type { TrueTime } from '../utils/true-time.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';

interface PeerReportsOptions {
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly life: number;
  readonly board: LoadBoard;
  readonly quota: SharedQuota;
  readonly usage: UsageCounter;
  readonly demand: DemandMeter;
  readonly trueTime: TrueTime;
  readonly dutyToken: () => number;
}

/** Windows of usage that a report carries: those that may still change or may have been missed. */
const TOLD_WINDOWS = 3;

/** Makes this node's reports, and takes in those of its peers. */
export class PeerReports {
  readonly #options: PeerReportsOptions;
  readonly #takenByPeer = new Map<string, ReadonlyMap<string, number>>();
  #sequence = 0;

  constructor(options: PeerReportsOptions) {
    this.#options = options;
  }

  own(isLeaving: boolean): NodeReport {
    const { node, address, failureDomain, life, board, quota, usage, demand, trueTime, dutyToken } =
      this.#options;
    this.#sequence += 1;
    const now = trueTime.now();
    const oldest = usage.windowAt(now) - TOLD_WINDOWS;
    const windows = [...usage.own].filter(([window]) => window >= oldest);
    return {
      node,
      host: address.host,
      port: address.port,
      failureDomain,
      life,
      sequence: this.#sequence,
      now: Math.round(now),
      work: Object.fromEntries(
        [...board.own].map(([id, work]) => [
          id,
          [work.requests, Math.round(work.prefillTokens), Math.round(work.kvTokens)],
        ]),
      ),
      taken: Object.fromEntries(quota.taken),
      usage: Object.fromEntries(windows.map(([key, counts]) => [key, Object.fromEntries(counts)])),
      demand: Object.fromEntries(
        [...demand.own].map(([service, total]) => [
          service,
          [total.requests, total.promptTokens, total.outputTokens],
        ]),
      ),
      duty: dutyToken(),
      isLeaving,
    };
  }

  /** Takes in a peer's report; `isFirst` when it was not heard before, or not for a while. */
  take(report: NodeReport, isFirst: boolean): void {
    const { board, usage, demand, trueTime } = this.#options;
    const life = `${report.node} ${report.life}`;
    board.setPeer(report.node, workOf(report));
    usage.setPeer(life, usageOf(report));
    trueTime.told(report.node, report.now);
    for (const [service, [requests, promptTokens, outputTokens]] of Object.entries(report.demand)) {
      demand.setTotal(life, service, { requests, promptTokens, outputTokens });
    }
    this.#takeQuota(report, isFirst);
  }

  /**
   * Draws what the peer drew since its last report. What it drew while it was not heard came out of
   * its own part of the buckets, which this node did not refill meanwhile.
   */
  #takeQuota({ node, taken }: NodeReport, isFirst: boolean): void {
    const before = isFirst ? undefined : this.#takenByPeer.get(node);
    const totals = new Map(Object.entries(taken));
    if (before) {
      for (const [team, total] of totals) {
        const drawn = total - (before.get(team) ?? 0);
        if (drawn !== 0) this.#options.quota.takenByPeer(team, drawn);
      }
    }
    this.#takenByPeer.set(node, totals);
  }
}

function workOf({ work }: NodeReport): ReadonlyMap<string, RunnerWork> {
  return new Map(
    Object.entries(work).map(([id, [requests, prefillTokens, kvTokens]]) => [
      id,
      { requests, prefillTokens, kvTokens },
    ]),
  );
}

function usageOf({ usage }: NodeReport): ReadonlyMap<number, ReadonlyMap<string, number>> {
  return new Map(
    Object.entries(usage).map(([window, counts]) => [
      Number(window),
      new Map(Object.entries(counts)),
    ]),
  );
}
