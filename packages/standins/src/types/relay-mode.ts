import * as z from 'zod';

/**
 * What a link does: `cut` refuses new connections and destroys open ones; `silent` freezes the open ones for good while
 * new ones work; the one-way modes lose the bytes of the other direction.
 */
export const RelayMode = z.enum([
  'open',
  'cut',
  'silent',
  'one-way-request-only',
  'one-way-reply-only',
]);
export type RelayMode = z.infer<typeof RelayMode>;
