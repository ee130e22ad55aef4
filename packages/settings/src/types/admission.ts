import * as z from 'zod';
import { integerSetting } from '../utils/integer-setting.ts';
import { numberSetting } from '../utils/number-setting.ts';

/** Queue limits and class weights of waiting requests. */
export const Admission = z
  .strictObject({
    maxQueued: integerSetting({
      min: 1,
      max: 100_000,
      fallback: 512,
      doc: 'Requests waiting in the queue of one service.',
    }),
    tenantQueued: integerSetting({
      min: 1,
      max: 100_000,
      fallback: 128,
      doc: 'Requests waiting for one tenant in one service.',
    }),
    interactiveWeight: numberSetting({
      min: 0.01,
      max: 100,
      fallback: 4,
      doc: 'Weight of class interactive against batch.',
    }),
    runnerLimit: integerSetting({
      min: 1,
      max: 10_000,
      fallback: 8,
      doc: 'Concurrent requests that this node first sends to one runner.',
    }),
  })
  .readonly();
export type Admission = z.infer<typeof Admission>;
