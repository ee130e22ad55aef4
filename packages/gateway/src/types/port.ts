import * as z from 'zod';
import { MAX_PORT } from '../utils/max-port.ts';

/** Port of an address that something listens on. */
export const Port = z.int().min(1).max(MAX_PORT);
