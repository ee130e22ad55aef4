import { digest } from '@ragwortrudder/core';
import type { LogRecord } from '../types/log-record.ts';

/** Returns the hash of a stream that continues from `previous` with `record`. */
export function chainHash(previous: string, record: LogRecord): string {
  const { offset, id, time, body } = record;
  return digest([previous, offset, id, time, body ?? null]);
}
