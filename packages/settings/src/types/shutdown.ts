import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';

const MINUTE_MS = 60_000;

/** Graceful shutdown of a node. */
export const Shutdown = z
  .strictObject({
    graceMs: durationSetting({
      min: 0,
      max: 60 * MINUTE_MS,
      fallback: 20_000,
      doc: 'Grace period from SIGTERM until the node closes.',
    }),
    handOverMs: durationSetting({
      min: 0,
      max: 60 * MINUTE_MS,
      fallback: 8000,
      doc: 'Time before the end of the grace period at which unfinished requests are handed over to peers.',
    }),
  })
  .readonly();
export type Shutdown = z.infer<typeof Shutdown>;
