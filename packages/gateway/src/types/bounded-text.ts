import * as z from 'zod';

const MAX_LENGTH = 512;

/** Id or name that another node has sent or stored. */
export const BoundedText = z.string().max(MAX_LENGTH);
