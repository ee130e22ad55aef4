import * as z from 'zod';
import { ms } from '../utils/ms.ts';
import { count } from '../utils/count.ts';

const MINUTE_MS = 60_000;

/** Use of the log of the platform. */
export const Log = z
  .strictObject({
    pollWaitMs: ms({
      min: 0,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time for which a read of the log waits for new records.',
    }),
    appendTimeoutMs: ms({
      min: 100,
      max: MINUTE_MS,
      fallback: 2000,
      doc: 'Time for an append to be read back before it is given up.',
    }),
    snapshotEvery: count({
      min: 10,
      max: 1_000_000,
      fallback: 500,
      doc: 'Records after which a new snapshot is appended.',
    }),
    snapshotAgeMs: ms({
      min: 1000,
      max: 24 * 60 * MINUTE_MS,
      fallback: 10 * MINUTE_MS,
      doc: 'Age after which a new snapshot is appended; well below retention.',
    }),
  })
  .readonly();
export type Log = z.infer<typeof Log>;
