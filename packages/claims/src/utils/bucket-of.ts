const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Bucket of a record name, by the FNV-1a hash. */
export function bucketOf(name: string, buckets: number): number {
  let hash = FNV_OFFSET_BASIS;
  for (let at = 0; at < name.length; at += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(at), FNV_PRIME);
  }
  return (hash >>> 0) % buckets;
}
