import * as z from 'zod';

/** A boot of a runner: its id and its start, in milliseconds since the epoch. */
export const RunnerBoot = z.tuple([z.string(), z.number()]).readonly();
/** A boot of a runner: its id and its start, in milliseconds since the epoch. */
export type RunnerBoot = z.infer<typeof RunnerBoot>;
