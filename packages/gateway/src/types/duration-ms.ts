import { timerDelayMs } from '@ragwortrudder/core';
import * as z from 'zod';

/** Duration that another node has sent, in milliseconds; at most as long as a timer can wait. */
export const DurationMs = z.number().nonnegative().transform(timerDelayMs);
