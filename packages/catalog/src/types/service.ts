import type { ModelEngine } from './model-engine.ts';
import type { ScaleBounds } from './scale-bounds.ts';

/** A group of interchangeable runners. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one runner accepts from all nodes together. */
  readonly maxConnections: number;
  /** Requests per second that a cold runner tolerates from all nodes together; absent without a limit. */
  readonly coldPerS?: number;
  /** Usual time for which a runner is cold, in milliseconds; absent when it is not known. */
  readonly warmupMs?: number;
  /** Present when the runners are model engines. */
  readonly engine?: ModelEngine;
  /** Present when the number of runners can be ordered. */
  readonly scaling?: ScaleBounds;
}
