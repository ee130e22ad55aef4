import createDebug from 'debug';
import type { Metrics } from './metrics.ts';

const debug = createDebug('ragwortrudder:state');

interface BackgroundWork {
  /** Name of the work in the counters and in the log. */
  readonly task: string;
  readonly metrics: Pick<Metrics, 'count'>;
  readonly promise: Promise<unknown>;
}

/** Lets work go on that nobody waits for; when it fails, the failure is counted and logged with its cause. */
export function runInBackground({ task, metrics, promise }: BackgroundWork): void {
  promise.catch((error: unknown) => {
    metrics.count('background_failures', { task });
    const cause = error instanceof Error ? error.message : String(error);
    debug('%j', { kind: 'task', subject: task, state: 'failed', cause });
  });
}
