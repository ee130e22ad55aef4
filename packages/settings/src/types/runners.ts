import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';
import { integerSetting } from '../utils/integer-setting.ts';

const MINUTE_MS = 60_000;

/** Discovery and selection of runners. */
export const Runners = z
  .strictObject({
    directoryPeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Interval between reads of the list of VMs.',
    }),
    noticePeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 500,
      doc: 'Interval between reads of reclaim notices.',
    }),
    loadPeriodMs: durationSetting({
      min: 20,
      max: MINUTE_MS,
      fallback: 250,
      doc: 'Interval between reads of the load of a runner.',
    }),
    cachePeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Interval between reads of the cache events of a runner.',
    }),
    subsetSize: integerSetting({
      min: 2,
      max: 1000,
      fallback: 24,
      doc: 'Number of runners of one service to which this node sends requests.',
    }),
    policy: z
      .enum(['estimate', 'round-robin', 'least-loaded', 'prefix-hash'])
      .default('estimate')
      .describe(
        'How a runner is selected. Application runners are selected by the power of two choices, unless round-robin or least-loaded is set.',
      ),
    reclaimPolicy: z
      .enum(['cost', 'finish', 'recompute', 'move-kv'])
      .default('cost')
      .describe(
        'How a stream on a leaving endpoint is completed; `cost` selects the cheapest method.',
      ),
    minSilenceMs: durationSetting({
      min: 50,
      max: 10 * MINUTE_MS,
      fallback: 500,
      doc: 'Minimum time without data on a stream before its connection is probed.',
    }),
  })
  .readonly();
export type Runners = z.infer<typeof Runners>;
