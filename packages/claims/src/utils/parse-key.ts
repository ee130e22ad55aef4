import { KeyMalformed } from '../errors/key-malformed.ts';
import type { IssuedKey } from '../types/issued-key.ts';

const PREFIX = 'k1.';
const ISSUED_KEY = /^k1\.(?<node>.{1,255})\.(?<incarnation>\d{1,15})\.(?<nonce>[0-9a-f]{32})$/;

/**
 * Parses an issued key; returns undefined for a caller-generated key.
 * @throws {@link KeyMalformed} if the key has the prefix but not the format of an issued key.
 */
export function parseKey(key: string): IssuedKey | undefined {
  if (!key.startsWith(PREFIX)) return undefined;
  const parts = ISSUED_KEY.exec(key)?.groups;
  if (!parts) throw new KeyMalformed();
  const { node = '', incarnation = '', nonce = '' } = parts;
  return { executor: { node, incarnation: Number(incarnation) }, nonce };
}
