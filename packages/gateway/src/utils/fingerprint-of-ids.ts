const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SEPARATOR = '\n';

/** FNV-1a hash of a set of ids, whatever their order. */
export function fingerprintOfIds(ids: readonly string[]): number {
  let hash = FNV_OFFSET;
  for (const byte of Buffer.from(ids.toSorted().join(SEPARATOR))) {
    hash = Math.imul(hash ^ byte, FNV_PRIME);
  }
  return hash >>> 0;
}
