const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SHARDS = 64;

interface ClaimSlot {
  readonly shard: string;
  readonly bucket: string;
}

/** Returns the shard and bucket of a key in the claim state, based on its FNV-1a hash. */
export function claimSlot(tenant: string, key: string): ClaimSlot {
  const name = JSON.stringify([tenant, key]);
  let hash = FNV_OFFSET_BASIS;
  for (let offset = 0; offset < name.length; offset += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(offset), FNV_PRIME);
  }
  const index = hash >>> 0;
  return { shard: `s${index % SHARDS}`, bucket: `b${Math.floor(index / SHARDS) % SHARDS}` };
}
