import type { Owner } from './owner.ts';

/** Parts of a key that names its executor. */
export interface IssuedKey {
  readonly executor: Owner;
  readonly nonce: string;
}
