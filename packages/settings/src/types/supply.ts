import * as z from 'zod';
import { integerSetting } from '../utils/integer-setting.ts';
import { durationSetting } from '../utils/duration-setting.ts';
import { numberSetting } from '../utils/number-setting.ts';

const MINUTE_MS = 60_000;

/** Supply of VMs for services whose tickets require a capacity. */
export const Supply = z
  .strictObject({
    enabled: z.boolean().default(true).describe('Whether this node may hold a supply job.'),
    policy: z
      .enum(['mixed', 'on-demand', 'cheapest-first'])
      .default('mixed')
      .describe(
        'How VMs are chosen; only `mixed` is designed to survive the loss of a failure domain.',
      ),
    periodMs: durationSetting({
      min: 50,
      max: 10 * MINUTE_MS,
      fallback: 5000,
      doc: 'Interval between comparisons of the held capacity with the required capacity.',
    }),
    leaseMs: durationSetting({
      min: 1000,
      max: 10 * MINUTE_MS,
      fallback: 30_000,
      doc: 'Duration of the lease on a supply job; after a holder dies, another node can take over when it expires.',
    }),
    leaseMarginMs: durationSetting({
      min: 100,
      max: MINUTE_MS,
      fallback: 2000,
      doc: 'Time before the end of its lease at which a holder stops sending orders.',
    }),
    settleMs: durationSetting({
      min: 0,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time for which a new holder waits before it sends orders to engines that ignore fencing numbers; must be longer than an order takes.',
    }),
    listLagMs: durationSetting({
      min: 0,
      max: 10 * MINUTE_MS,
      fallback: 30_000,
      doc: "Maximum time for which a new holder waits for the list to show its predecessor's VMs.",
    }),
    returnAfterMs: durationSetting({
      min: 0,
      max: 24 * 60 * MINUTE_MS,
      fallback: 60_000,
      doc: 'Time for which a VM must be continuously surplus before it is returned.',
    }),
    bootMs: durationSetting({
      min: 1000,
      max: 24 * 60 * MINUTE_MS,
      fallback: 10 * MINUTE_MS,
      doc: 'Time after which a VM that still has no address is returned.',
    }),
    backoffMs: durationSetting({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 30_000,
      doc: 'Time for which a kind of VM is not requested again after a refusal; doubles with each further refusal.',
    }),
    maxStarts: integerSetting({
      min: 1,
      max: 1000,
      fallback: 16,
      doc: 'Maximum number of VM starts in one plan.',
    }),
    onDemandFloor: numberSetting({
      min: 0,
      max: 1,
      fallback: 0.2,
      doc: 'Minimum share of the required capacity that is held as on-demand VMs.',
    }),
    cloudCallsPerSecond: numberSetting({
      min: 0.1,
      max: 1000,
      fallback: 5,
      doc: 'Maximum rate of cloud API calls by all supply jobs; must be below the limit of the API.',
      unit: 'calls/s',
    }),
    weightLoadsPerSecond: numberSetting({
      min: 0.01,
      max: 1000,
      fallback: 4,
      doc: "Maximum rate of load orders by all supply jobs; must be below the weight store's rate limit.",
      unit: 'loads/s',
    }),
    engineCheckMs: durationSetting({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 15_000,
      doc: 'Interval between comparisons of the state of an engine with the desired state.',
    }),
  })
  .readonly();
export type Supply = z.infer<typeof Supply>;
