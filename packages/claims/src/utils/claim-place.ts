const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SHARDS = 64;

interface Place {
  readonly shard: string;
  readonly bucket: string;
}

/** Place of a key of a tenant in the index of the claims, by the FNV-1a hash. */
export function claimPlace(tenant: string, key: string): Place {
  const name = JSON.stringify([tenant, key]);
  let hash = FNV_OFFSET_BASIS;
  for (let at = 0; at < name.length; at += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(at), FNV_PRIME);
  }
  const place = hash >>> 0;
  return { shard: `s${place % SHARDS}`, bucket: `b${Math.floor(place / SHARDS) % SHARDS}` };
}
