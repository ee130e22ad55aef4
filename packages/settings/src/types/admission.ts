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
      doc: 'Maximum number of requests queued for one service.',
    }),
    tenantQueued: integerSetting({
      min: 1,
      max: 100_000,
      fallback: 128,
      doc: 'Maximum number of requests queued for one tenant in one service.',
    }),
    interactiveWeight: numberSetting({
      min: 0.01,
      max: 100,
      fallback: 4,
      doc: 'Weight of the class interactive relative to batch.',
    }),
    runnerLimit: integerSetting({
      min: 1,
      max: 10_000,
      fallback: 8,
      doc: 'Initial limit on concurrent requests that this node sends to one runner.',
    }),
  })
  .readonly();
export type Admission = z.infer<typeof Admission>;
