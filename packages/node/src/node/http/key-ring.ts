import { createHash } from 'node:crypto';

function hash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Maps keys to what they identify; holds only hashes, so that a lookup takes the same time for near misses. */
export class KeyRing<Identity> {
  readonly #identities: ReadonlyMap<string, Identity>;

  constructor(entries: readonly (readonly [key: string, identity: Identity])[]) {
    this.#identities = new Map(entries.map(([key, identity]) => [hash(key), identity]));
  }

  /** What `key` identifies; undefined when the key is not known. */
  find(key: string): Identity | undefined {
    return this.#identities.get(hash(key));
  }
}
