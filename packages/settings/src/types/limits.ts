import * as z from 'zod';
import { ms } from '../utils/ms.ts';
import { count } from '../utils/count.ts';

const MINUTE_MS = 60_000;

/** Limits on what callers and peers send. */
export const Limits = z
  .strictObject({
    bodyBytes: count({
      min: 1024,
      max: 16_777_216,
      fallback: 1_048_576,
      doc: 'Largest request body.',
      unit: 'bytes',
    }),
    headerBytes: count({
      min: 1024,
      max: 65_536,
      fallback: 16_384,
      doc: 'Largest request header.',
      unit: 'bytes',
    }),
    connections: count({
      min: 8,
      max: 100_000,
      fallback: 4096,
      doc: 'Open connections of callers.',
    }),
    headerTimeoutMs: ms({
      min: 100,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time for a caller to send the headers.',
    }),
    bodyTimeoutMs: ms({
      min: 100,
      max: 5 * MINUTE_MS,
      fallback: 10_000,
      doc: 'Time for a caller to send the body.',
    }),
  })
  .readonly();
export type Limits = z.infer<typeof Limits>;
