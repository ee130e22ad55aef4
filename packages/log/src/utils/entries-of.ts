import * as z from 'zod';
import type { Entry } from '../types/entry.ts';
import type { LogRecord } from '../types/log-record.ts';
import { POSITIONS_PER_RECORD } from './positions-per-record.ts';

const Batch = z.strictObject({
  entries: z.array(z.strictObject({ id: z.string(), body: z.unknown() })).max(POSITIONS_PER_RECORD),
});

/** Returns the entries of a record; none when its body is not a batch. */
export function entriesOf(record: LogRecord): readonly Entry[] {
  const batch = Batch.safeParse(record.body);
  if (!batch.success) return [];
  const { offset, time } = record;
  return batch.data.entries.map(({ id, body }, index) => ({
    position: offset * POSITIONS_PER_RECORD + index,
    offset,
    id,
    time,
    body,
  }));
}
