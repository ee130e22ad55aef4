import * as z from 'zod';
import { USAGE_WINDOW_PATTERN } from '../utils/usage-window-pattern.ts';

/** Number of a window of usage, as the key of a record. */
export const UsageWindow = z.string().regex(USAGE_WINDOW_PATTERN);
