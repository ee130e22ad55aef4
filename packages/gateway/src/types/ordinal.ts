import * as z from 'zod';

/** Time since the epoch, version, offset or sequence number that another node has sent or stored. */
export const Ordinal = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);
