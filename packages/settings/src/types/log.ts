import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';
import { integerSetting } from '../utils/integer-setting.ts';

const MINUTE_MS = 60_000;

/** Use of the platform's log. */
export const Log = z
  .strictObject({
    pollWaitMs: durationSetting({
      min: 0,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Maximum time for which a read of the log waits for new records.',
    }),
    appendTimeoutMs: durationSetting({
      min: 100,
      max: MINUTE_MS,
      fallback: 2000,
      doc: 'Time within which an append must be read back before it is abandoned.',
    }),
    snapshotEvery: integerSetting({
      min: 10,
      max: 1_000_000,
      fallback: 500,
      doc: 'Number of records after which a new snapshot is appended.',
    }),
    snapshotAgeMs: durationSetting({
      min: 1000,
      max: 24 * 60 * MINUTE_MS,
      fallback: 10 * MINUTE_MS,
      doc: 'Age of the newest snapshot after which another is appended; must be well below the retention of the log.',
    }),
  })
  .readonly();
export type Log = z.infer<typeof Log>;
