import type { ModelEngine } from './model-engine.ts';
import type { ScaleBounds } from './scale-bounds.ts';

/** A group of interchangeable runners. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one runner accepts from all nodes together. */
  readonly maxConnections: number;
  /** Present when the runners are model engines. */
  readonly engine?: ModelEngine;
  /** Present when the number of runners can be ordered. */
  readonly scaling?: ScaleBounds;
}
