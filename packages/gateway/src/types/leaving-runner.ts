import * as z from 'zod';

/** A runner that is leaving: its id and the start of its boot, in milliseconds since the epoch. */
export const LeavingRunner = z.tuple([z.string(), z.number()]).readonly();
/** A runner that is leaving: its id and the start of its boot, in milliseconds since the epoch. */
export type LeavingRunner = z.infer<typeof LeavingRunner>;
