import { ConcurrencyLimit } from '@ragwortrudder/admission';
import { RunnerTracker, StreamWatch } from '@ragwortrudder/routing';
import type { RunnerIdentity, StreamWatchOptions } from '@ragwortrudder/routing';

/** Everything that this node keeps about one runner. */
export class Runner {
  readonly identity: RunnerIdentity;
  readonly tracker: RunnerTracker;
  readonly watch: StreamWatch;
  readonly limit: ConcurrencyLimit;
  /** Wall-clock time in milliseconds at which the VM is reclaimed; undefined without a notice. */
  reclaimAt: number | undefined;

  constructor(identity: RunnerIdentity, initialLimit: number, watch: StreamWatchOptions = {}) {
    this.identity = identity;
    this.tracker = new RunnerTracker(identity);
    this.watch = new StreamWatch(watch);
    this.limit = new ConcurrencyLimit({ initial: initialLimit });
  }
}
