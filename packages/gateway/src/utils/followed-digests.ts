import type { ReportTiming } from '../types/report-timing.ts';

interface ReceivedDigest {
  readonly relay: string;
  readonly incarnation: number;
  /** When it arrived; monotonic, in milliseconds. */
  readonly at: number;
}

interface DomainState<T> {
  /** Last digest of the relay that is followed. */
  readonly followed: T;
  /** Last digests of the other relays. */
  readonly others: ReadonlyMap<string, T>;
  /** Those of them that were the last ones when the followed digest arrived, or the first ones since. */
  readonly baselines: ReadonlyMap<string, T>;
}

function relayKeyOf({ relay, incarnation }: ReceivedDigest): string {
  return `${relay} ${incarnation}`;
}

/**
 * Decides which relay of each failure domain is followed, one at a time, and from which of its earlier
 * digests on its totals count: when another relay takes over, from what it had sent by the last digest
 * of the one before.
 */
export class FollowedDigests<T extends ReceivedDigest> {
  readonly #timing: () => Pick<ReportTiming, 'relayTimeoutMs' | 'baselineTtlMs'>;
  readonly #domains = new Map<string, DomainState<T>>();

  constructor(timing: () => Pick<ReportTiming, 'relayTimeoutMs' | 'baselineTtlMs'>) {
    this.#timing = timing;
  }

  /** When the last digest of the followed relay arrived; undefined when none is followed. */
  lastAt(failureDomain: string): number | undefined {
    return this.#domains.get(failureDomain)?.followed.at;
  }

  forget(failureDomain: string): void {
    this.#domains.delete(failureDomain);
  }

  /**
   * Records a digest, and returns the earlier one from which on its totals count; undefined when they
   * are only a baseline themselves, or belong to a relay that is not followed.
   */
  record(failureDomain: string, digest: T): T | undefined {
    const { relayTimeoutMs, baselineTtlMs } = this.#timing();
    const state = this.#domains.get(failureDomain);
    const key = relayKeyOf(digest);
    const isSameRelay = state !== undefined && relayKeyOf(state.followed) === key;
    if (state && !isSameRelay && digest.at - state.followed.at < relayTimeoutMs) {
      this.#domains.set(failureDomain, recordOther(state, digest));
      return undefined;
    }
    const earlier =
      state && !isSameRelay ? [...state.others.values(), state.followed] : state?.others.values();
    const others = new Map(
      [...(earlier ?? [])]
        .filter((other) => relayKeyOf(other) !== key && digest.at - other.at < baselineTtlMs)
        .map((other) => [relayKeyOf(other), other]),
    );
    this.#domains.set(failureDomain, { followed: digest, others, baselines: others });
    const baseline = isSameRelay ? state.followed : state?.baselines.get(key);
    return baseline && digest.at - baseline.at < baselineTtlMs ? baseline : undefined;
  }
}

function recordOther<T extends ReceivedDigest>(state: DomainState<T>, digest: T): DomainState<T> {
  const key = relayKeyOf(digest);
  const { followed, others, baselines } = state;
  return {
    followed,
    others: new Map(others).set(key, digest),
    baselines: baselines.has(key) ? baselines : new Map(baselines).set(key, digest),
  };
}
