import * as z from 'zod';
import { MAX_TEXT_LENGTH } from '../utils/max-text-length.ts';

/** Id or name that another node has sent or stored. */
export const BoundedText = z.string().max(MAX_TEXT_LENGTH);
