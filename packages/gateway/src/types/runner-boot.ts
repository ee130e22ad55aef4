import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';

/** A boot of a runner: its id and its start, in milliseconds since the epoch. */
export const RunnerBoot = z.tuple([BoundedText, Ordinal]).readonly();
/** A boot of a runner: its id and its start, in milliseconds since the epoch. */
export type RunnerBoot = z.infer<typeof RunnerBoot>;
