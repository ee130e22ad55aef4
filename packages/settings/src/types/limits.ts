import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';
import { integerSetting } from '../utils/integer-setting.ts';

const MINUTE_MS = 60_000;

/** Limits on requests and connections of callers and peers. */
export const Limits = z
  .strictObject({
    bodyBytes: integerSetting({
      min: 1024,
      max: 16_777_216,
      fallback: 1_048_576,
      doc: 'Maximum size of a request body.',
      unit: 'bytes',
    }),
    headerBytes: integerSetting({
      min: 1024,
      max: 65_536,
      fallback: 16_384,
      doc: 'Maximum size of the request headers.',
      unit: 'bytes',
    }),
    connections: integerSetting({
      min: 8,
      max: 100_000,
      fallback: 4096,
      doc: 'Maximum number of open connections of callers.',
    }),
    headerTimeoutMs: durationSetting({
      min: 100,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Timeout for a caller to send the headers.',
    }),
    bodyTimeoutMs: durationSetting({
      min: 100,
      max: 5 * MINUTE_MS,
      fallback: 10_000,
      doc: 'Timeout for a caller to send the body.',
    }),
  })
  .readonly();
export type Limits = z.infer<typeof Limits>;
