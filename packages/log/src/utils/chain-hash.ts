import { digest } from '@ragwortrudder/core';
import type { LogRecord } from '../types/log-record.ts';

/** Returns the chained hash of a stream with hash `previous` after appending `record`. */
export function chainHash(previous: string, record: LogRecord): string {
  const { offset, id, time, body } = record;
  return digest([previous, offset, id, time, body ?? null]);
}
