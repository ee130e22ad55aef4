import type { Random } from '@ragwortrudder/core';

interface FittingIdsOptions {
  readonly maxBytes: number;
  readonly random: Random;
}

/** Bytes of the brackets of a list, in JSON. */
const BRACKET_BYTES = 2;
/** Bytes of the quotes of an id and of the comma after it, in JSON. */
const SEPARATOR_BYTES = 3;

/** All ids if they fit into `maxBytes` as JSON; otherwise as many of them, from a random one on. */
export function fittingIds(
  ids: readonly string[],
  { maxBytes, random }: FittingIdsOptions,
): readonly string[] {
  const allBytes = ids.reduce((sum, id) => sum + bytesOf(id), BRACKET_BYTES);
  if (allBytes <= maxBytes) return ids;
  const first = Math.floor(random.next() * ids.length);
  const fitting: string[] = [];
  let bytes = BRACKET_BYTES;
  for (const id of [...ids.slice(first), ...ids.slice(0, first)]) {
    bytes += bytesOf(id);
    if (bytes > maxBytes) break;
    fitting.push(id);
  }
  return fitting;
}

function bytesOf(id: string): number {
  return Buffer.byteLength(id) + SEPARATOR_BYTES;
}
