import { createHash } from 'node:crypto';

function hash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Maps keys to identities. Stores only hashes, so that the duration of a lookup reveals nothing
 * about similar keys.
 */
export class KeyRing<Identity> {
  readonly #identities: ReadonlyMap<string, Identity>;

  constructor(entries: readonly (readonly [key: string, identity: Identity])[]) {
    this.#identities = new Map(entries.map(([key, identity]) => [hash(key), identity]));
  }

  /** Returns the identity of `key`; undefined when the key is unknown. */
  find(key: string): Identity | undefined {
    return this.#identities.get(hash(key));
  }
}
