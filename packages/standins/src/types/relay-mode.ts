import * as z from 'zod';

/**
 * How a link treats connections: `cut` refuses new connections and destroys open ones; `silent` permanently freezes the
 * open ones while new ones work; `dark` freezes the open ones and never accepts new ones, as behind a partition that
 * drops packets; `refuse-new` refuses new connections while open ones live on; a one-way mode forwards the named
 * direction and drops the bytes of the other.
 */
export const RelayMode = z.enum([
  'open',
  'cut',
  'silent',
  'dark',
  'refuse-new',
  'paused',
  'one-way-request-only',
  'one-way-reply-only',
]);
export type RelayMode = z.infer<typeof RelayMode>;
