import { KeyMalformed } from '../errors/key-malformed.ts';
import type { IssuedKey } from '../types/issued-key.ts';

const PREFIX = 'k1.';
const FORM = /^k1\.(?<node>.{1,255})\.(?<incarnation>\d{1,15})\.(?<nonce>[0-9a-f]{32})$/;

/**
 * Reads the executor from an issued key; undefined for a key that the caller made.
 * @throws {@link KeyMalformed} when the key has the prefix but not the form of an issued key.
 */
export function parseKey(key: string): IssuedKey | undefined {
  if (!key.startsWith(PREFIX)) return undefined;
  const parts = FORM.exec(key)?.groups;
  if (!parts) throw new KeyMalformed();
  const { node = '', incarnation = '', nonce = '' } = parts;
  return { executor: { node, incarnation: Number(incarnation) }, nonce };
}
