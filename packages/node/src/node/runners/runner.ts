import { ConcurrencyLimit } from '@ragwortrudder/admission';
import { RunnerTracker, StreamMonitor } from '@ragwortrudder/routing';
import type { RunnerIdentity } from '@ragwortrudder/routing';

/** Smallest cache sizes, for application runners, which have no prefix cache to track. */
const NO_CACHE_OPTIONS = { cache: { maxHints: 1, maxSent: 1 } };

/**
 * Latencies below which a runner does not count as congested: the time to the first token for
 * models, the duration of an operation for applications.
 */
const MODEL_LATENCY_NOISE_MS = 100;
const APPLICATION_LATENCY_NOISE_MS = 20;

interface RunnerOptions {
  readonly identity: RunnerIdentity;
  /** Concurrency limit of the runner before it has adapted. */
  readonly initialLimit: number;
  /** Silence of a stream in milliseconds below which it is not probed. */
  readonly minSilenceMs: number;
}

/** State that this node keeps about one runner. */
export class Runner {
  readonly identity: RunnerIdentity;
  readonly tracker: RunnerTracker;
  readonly streamWatch: StreamMonitor;
  readonly limit: ConcurrencyLimit;
  /** Monotonic time in milliseconds at which the last read of the load began. */
  loadReadAt = -Infinity;
  /** Monotonic time in milliseconds at which the last read of cache events began. */
  cacheReadAt = -Infinity;
  /** Wall-clock time in milliseconds at which the VM is reclaimed; undefined without a notice. */
  reclaimAt: number | undefined;

  constructor({ identity, initialLimit, minSilenceMs }: RunnerOptions) {
    this.identity = identity;
    this.tracker = new RunnerTracker(
      identity,
      identity.kind === 'application' ? NO_CACHE_OPTIONS : {},
    );
    this.streamWatch = new StreamMonitor({ minSilenceMs });
    const noiseMs =
      identity.kind === 'model' ? MODEL_LATENCY_NOISE_MS : APPLICATION_LATENCY_NOISE_MS;
    this.limit = new ConcurrencyLimit({ initial: initialLimit, noiseMs });
  }
}
