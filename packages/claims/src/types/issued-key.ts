import type { Owner } from './owner.ts';

/** Parsed form of an issued key, which identifies its executor. */
export interface IssuedKey {
  readonly executor: Owner;
  readonly nonce: string;
}
