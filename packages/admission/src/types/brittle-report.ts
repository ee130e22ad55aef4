import * as z from 'zod';
import { StatedLimit } from './stated-limit.ts';

const MAX_COUNT = 1_000_000_000;
const Count = z.number().int().nonnegative().max(MAX_COUNT);
const MAX_AGE_MS = 3_600_000;

/** What a node knows of brittle runners, as nodes report it to each other. */
export const BrittleReport = z
  .object({
    /** Rejections in a second that runners state as the most they bear. */
    stated: z.array(StatedLimit).readonly(),
    /** By incarnation of the runner: rejections of the node's requests, and the age of the newest in milliseconds. */
    rejections: z.record(z.string(), z.tuple([Count, z.number().nonnegative().max(MAX_AGE_MS)])),
    /** By incarnation of the runner: requests with which it was full. */
    rooms: z.record(z.string(), Count),
  })
  .readonly();
/** What a node knows of brittle runners. */
export type BrittleReport = z.infer<typeof BrittleReport>;
