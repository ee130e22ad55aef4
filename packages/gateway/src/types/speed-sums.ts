import * as z from 'zod';
import { Amount } from './amount.ts';

/** Samples of a runner's speed, as `RunnerSpeeds` encodes them: number, sum of logarithms. */
export const SpeedSums = z.tuple([Amount, Amount]).readonly();
/** Samples of a runner's speed, as `RunnerSpeeds` encodes them: number, sum of logarithms. */
export type SpeedSums = z.infer<typeof SpeedSums>;
