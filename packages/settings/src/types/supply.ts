import * as z from 'zod';
import { integerSetting } from '../utils/integer-setting.ts';
import { durationSetting } from '../utils/duration-setting.ts';
import { numberSetting } from '../utils/number-setting.ts';

const MINUTE_MS = 60_000;

/** Supply of VMs for services whose tickets require a capacity. */
export const Supply = z
  .strictObject({
    enabled: z
      .boolean()
      .default(true)
      .describe('False on a node that is never to hold a supply job.'),
    policy: z
      .enum(['mixed', 'on-demand', 'cheapest-first'])
      .default('mixed')
      .describe('How VMs are chosen; only `mixed` is made to survive the loss of a domain.'),
    periodMs: durationSetting({
      min: 50,
      max: 10 * MINUTE_MS,
      fallback: 5000,
      doc: 'Period of comparing what is held with what is needed.',
    }),
    leaseMs: durationSetting({
      min: 1000,
      max: 10 * MINUTE_MS,
      fallback: 30_000,
      doc: 'Length of the lease on a supply job; a killed holder leaves it to others after it.',
    }),
    leaseMarginMs: durationSetting({
      min: 100,
      max: MINUTE_MS,
      fallback: 2000,
      doc: 'Time before the end of its lease at which a holder stops giving orders.',
    }),
    settleMs: durationSetting({
      min: 0,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time after which a new holder orders engines that ignore fencing numbers; longer than an order.',
    }),
    listLagMs: durationSetting({
      min: 0,
      max: 10 * MINUTE_MS,
      fallback: 30_000,
      doc: "Longest time for which a new holder waits for the list to show its predecessor's VMs.",
    }),
    returnAfterMs: durationSetting({
      min: 0,
      max: 24 * 60 * MINUTE_MS,
      fallback: 60_000,
      doc: 'Time for which a VM must be surplus without interruption before it is returned.',
    }),
    bootMs: durationSetting({
      min: 1000,
      max: 24 * 60 * MINUTE_MS,
      fallback: 10 * MINUTE_MS,
      doc: 'Time after which a VM that has no address yet is returned.',
    }),
    backoffMs: durationSetting({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 30_000,
      doc: 'Time for which a kind of VM that was refused is left alone; doubles with each refusal.',
    }),
    maxStarts: integerSetting({
      min: 1,
      max: 1000,
      fallback: 16,
      doc: 'Starts of VMs in one plan.',
    }),
    onDemandFloor: numberSetting({
      min: 0,
      max: 1,
      fallback: 0.2,
      doc: 'Part of the needed capacity that is held on demand at least.',
    }),
    cloudCallsPerSecond: numberSetting({
      min: 0.1,
      max: 1000,
      fallback: 5,
      doc: 'Calls of the cloud API by all supply jobs, below its limit.',
      unit: 'calls/s',
    }),
    weightLoadsPerSecond: numberSetting({
      min: 0.01,
      max: 1000,
      fallback: 4,
      doc: "Orders to load a version by all supply jobs, below the weight store's rate.",
      unit: 'loads/s',
    }),
    engineCheckMs: durationSetting({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 15_000,
      doc: 'Period of comparing the state of an engine with the wanted one.',
    }),
  })
  .readonly();
export type Supply = z.infer<typeof Supply>;
