import { deflateRawSync } from 'node:zlib';
import type { ConfigurationPart } from '../types/configuration-part.ts';

interface ConfigurationRecord {
  readonly node: string;
  readonly version: number;
  readonly value: Uint8Array;
}

/** Characters of a part: a message of it fits into a datagram. */
const PART_CHARS = 16 * 1024;

/** Divides a configuration record into parts that fit into datagrams. */
export function splitConfiguration(record: ConfigurationRecord): readonly ConfigurationPart[] {
  const { node, version, value } = record;
  const text = deflateRawSync(value).toString('base64');
  const parts = Math.max(1, Math.ceil(text.length / PART_CHARS));
  return Array.from({ length: parts }, (_item, part) => {
    const start = part * PART_CHARS;
    return { node, version, part, parts, text: text.slice(start, start + PART_CHARS) };
  });
}
