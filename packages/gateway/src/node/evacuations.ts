import type { EvacuationOrder, RunnerDirectory } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { KeyedRecord } from '@ragwortrudder/log';
import { EvacuatedDomains } from '@ragwortrudder/routing';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';

interface EvacuationsOptions {
  readonly codec: Pick<CatalogCodec, 'configurationTopic' | 'decodeEvacuation'>;
  readonly clock: Clock;
  readonly directory: Pick<RunnerDirectory, 'all'>;
  readonly decisions: DecisionLog;
  readonly metrics: GatewayMetrics;
}

interface DecodedRecord {
  readonly key: string;
  readonly order: EvacuationOrder;
}

/** Applies the operator's orders to evacuate failure domains, and logs what they change. */
export class Evacuations {
  readonly domains: EvacuatedDomains;
  readonly #options: EvacuationsOptions;
  /** When the evacuations that are in force began here; monotonic, in milliseconds. */
  readonly #begunAt = new Map<string, number>();

  constructor(options: EvacuationsOptions) {
    this.#options = options;
    this.domains = new EvacuatedDomains(options.clock);
  }

  /** Applies new records of the operator in their order; others than evacuations are ignored. */
  apply(records: readonly KeyedRecord[]): void {
    for (const { key, order } of this.#decode(records)) {
      const { failureDomain, state } = order;
      if (state === 'unreadable') continue;
      if (state === 'withdrawn') {
        this.#accept(key);
        if (this.domains.end(failureDomain)) this.#logEnd(failureDomain, 'withdrawn');
      } else if (this.domains.begin(failureDomain)) {
        this.#accept(key);
        this.#logBegin(failureDomain);
      } else {
        this.#rejectExcess(key);
      }
    }
  }

  /** Applies a snapshot of the operator's records. */
  replaceAll(records: readonly KeyedRecord[], isRestored: boolean): void {
    const decoded = this.#decode(records.toSorted((a, b) => a.offset - b.offset));
    const namesOf = (state: EvacuationOrder['state']): readonly string[] =>
      decoded.filter(({ order }) => order.state === state).map(({ order }) => order.failureDomain);
    const change = this.domains.replaceAll({
      ordered: namesOf('ordered'),
      unreadable: namesOf('unreadable'),
      isRestored,
    });
    for (const domain of change.ended) this.#logEnd(domain, 'missing');
    for (const domain of change.begun) this.#logBegin(domain);
    for (const failureDomain of isRestored ? change.unconfirmed : []) {
      this.#options.decisions.notable('evacuation-unconfirmed', { failureDomain });
    }
    for (const { key, order } of decoded) {
      if (change.excess.includes(order.failureDomain)) this.#rejectExcess(key);
      else if (order.state === 'ordered') this.#accept(key);
    }
  }

  /** Records that the operator's records were read to their end. */
  confirm(): void {
    for (const domain of this.domains.confirm()) this.#logEnd(domain, 'missing-after-restore');
  }

  #decode(records: readonly KeyedRecord[]): readonly DecodedRecord[] {
    return records.flatMap(({ key, value }) => {
      const order = this.#options.codec.decodeEvacuation(key, value);
      return order ? [{ key, order }] : [];
    });
  }

  /** Logs the beginning of an evacuation, unless it is in force already. */
  #logBegin(failureDomain: string): void {
    if (this.#begunAt.has(failureDomain)) return;
    const { clock, directory, decisions, metrics } = this.#options;
    this.#begunAt.set(failureDomain, clock.monotonic());
    const runners = directory.all().filter((entry) => entry.failureDomain === failureDomain).length;
    metrics.count('evacuations_begun');
    // A domain without runners may be unknown, or its runners have not been read yet.
    decisions.notable('evacuation-begun', { failureDomain, runners, hasRunners: runners > 0 });
  }

  #logEnd(failureDomain: string, cause: string): void {
    const { clock, decisions, metrics } = this.#options;
    const now = clock.monotonic();
    const afterMs = Math.round(now - (this.#begunAt.get(failureDomain) ?? now));
    this.#begunAt.delete(failureDomain);
    metrics.count('evacuations_ended', { cause });
    decisions.notable('evacuation-ended', { failureDomain, cause, afterMs });
  }

  /** The next rejection of a record with this key is logged again. */
  #accept(key: string): void {
    const { codec, decisions } = this.#options;
    decisions.accepted(codec.configurationTopic, key);
  }

  #rejectExcess(key: string): void {
    const { codec, decisions, metrics } = this.#options;
    metrics.count('evacuations_rejected');
    const cause = 'evacuations: too many failure domains are evacuated';
    decisions.rejected({ topic: codec.configurationTopic, key, cause });
  }
}
