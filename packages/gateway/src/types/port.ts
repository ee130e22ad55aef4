import * as z from 'zod';

const MAX_PORT = 65_535;

/** Port of an address that something listens on. */
export const Port = z.int().min(1).max(MAX_PORT);
