import { BodyBudget } from '../utils/body-budget.ts';
import { BufferBudget } from '../utils/buffer-budget.ts';
import { ReadTurns } from '../utils/read-turns.ts';

/** Memory held for one response, at most twice its bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Memory held for all responses in progress; a node has a few hundred megabytes. */
const MAX_RESPONSES_BYTES = 64 * 1024 * 1024;
/** Memory held for the bodies of all requests in progress. */
const MAX_BODIES_BYTES = 32 * 1024 * 1024;

/** What all connections of a node share for the bytes that they receive. */
export class Intake {
  readonly responses = new BufferBudget({
    totalBytes: MAX_RESPONSES_BYTES,
    maxBytes: MAX_RESPONSE_BYTES,
  });
  readonly bodies = new BodyBudget({ totalBytes: MAX_BODIES_BYTES });
  readonly turns = new ReadTurns({
    schedule: (run, delayMs) => {
      setTimeout(run, delayMs);
    },
  });
}
