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
      doc: 'Period of reading the list of VMs.',
    }),
    noticePeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 500,
      doc: 'Period of reading reclaim notices.',
    }),
    loadPeriodMs: durationSetting({
      min: 20,
      max: MINUTE_MS,
      fallback: 250,
      doc: 'Period of reading the load of a runner.',
    }),
    cachePeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Period of reading the cache events of a runner.',
    }),
    subsetSize: integerSetting({
      min: 2,
      max: 1000,
      fallback: 24,
      doc: 'Runners of one service that this node sends to.',
    }),
    policy: z
      .enum(['estimate', 'round-robin', 'least-loaded', 'prefix-hash'])
      .default('estimate')
      .describe(
        'How a runner is chosen; an application runner is chosen by two choices, or by round robin or least load where these are set.',
      ),
    reclaimPolicy: z
      .enum(['cost', 'finish', 'recompute', 'move-kv'])
      .default('cost')
      .describe('How a stream on a leaving endpoint is finished; `cost` takes the cheapest way.'),
    minSilenceMs: durationSetting({
      min: 50,
      max: 10 * MINUTE_MS,
      fallback: 500,
      doc: 'Silence of a stream below which its connection is not probed.',
    }),
  })
  .readonly();
export type Runners = z.infer<typeof Runners>;
