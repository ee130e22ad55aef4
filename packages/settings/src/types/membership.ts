import * as z from 'zod';
import { ms } from '../utils/ms.ts';

const MINUTE_MS = 60_000;

/** Detection of dead peers. */
export const Membership = z
  .strictObject({
    probePeriodMs: ms({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Period of probes to peers.',
    }),
    probeTimeoutMs: ms({
      min: 20,
      max: 10_000,
      fallback: 300,
      doc: 'Time for a peer to answer a probe.',
    }),
    suspicionMs: ms({
      min: 100,
      max: 10 * MINUTE_MS,
      fallback: 3000,
      doc: 'Time for which a silent peer is suspected before it is declared dead.',
    }),
  })
  .readonly();
export type Membership = z.infer<typeof Membership>;
