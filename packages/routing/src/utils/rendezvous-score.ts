const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the rendezvous (highest random weight) score of `member` for `key`: a uniform 32-bit
 * value.
 */
export function rendezvousScore(key: string, member: string): number {
  let hash = FNV_OFFSET;
  for (const text of [key, '\0', member]) {
    for (let i = 0; i < text.length; i += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
    }
  }
  return mix(hash >>> 0);
}
