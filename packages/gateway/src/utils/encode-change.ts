import type { KeyedRecord } from '@ragwortrudder/log';

/** Record of a topic as it is sent in a feed. */
export function encodeChange({ key, value, offset }: KeyedRecord): [string, string | null, number] {
  return [key, value ? Buffer.from(value).toString('base64') : null, offset];
}
