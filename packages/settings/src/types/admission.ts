import * as z from 'zod';
import { count } from '../utils/count.ts';
import { share } from '../utils/share.ts';

/** Queues and shares of waiting requests. */
export const Admission = z
  .strictObject({
    maxQueued: count({
      min: 1,
      max: 100_000,
      fallback: 512,
      doc: 'Requests waiting in the queue of one service.',
    }),
    tenantQueued: count({
      min: 1,
      max: 100_000,
      fallback: 128,
      doc: 'Requests waiting for one tenant in one service.',
    }),
    interactiveWeight: share({
      min: 0.01,
      max: 100,
      fallback: 4,
      doc: 'Weight of class interactive against batch.',
    }),
    runnerLimit: count({
      min: 1,
      max: 10_000,
      fallback: 8,
      doc: 'Concurrent requests that this node first sends to one runner.',
    }),
  })
  .readonly();
export type Admission = z.infer<typeof Admission>;
