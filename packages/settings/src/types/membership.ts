import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';

const MINUTE_MS = 60_000;

/** Failure detection of peers. */
export const Membership = z
  .strictObject({
    probePeriodMs: durationSetting({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Interval between probes of peers.',
    }),
    probeTimeoutMs: durationSetting({
      min: 20,
      max: 10_000,
      fallback: 300,
      doc: 'Timeout for a peer to answer a probe.',
    }),
    suspicionMs: durationSetting({
      min: 100,
      max: 10 * MINUTE_MS,
      fallback: 3000,
      doc: 'Time for which an unresponsive peer is suspected before it is declared dead.',
    }),
  })
  .readonly();
export type Membership = z.infer<typeof Membership>;
