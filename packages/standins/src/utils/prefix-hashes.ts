import { createHash } from 'node:crypto';

const BLOCK_TOKENS = 16;
const HASH_DIGITS = 16;

/** Returns the hash of each prefix of `words` that ends with a full block of 16 tokens. */
export function prefixHashes(words: readonly string[]): readonly string[] {
  const hash = createHash('sha256');
  const prefixes: string[] = [];
  for (let end = BLOCK_TOKENS; end <= words.length; end += BLOCK_TOKENS) {
    const block = words.slice(end - BLOCK_TOKENS, end).join(' ');
    hash.update(end === BLOCK_TOKENS ? block : ` ${block}`);
    prefixes.push(hash.copy().digest('hex').slice(0, HASH_DIGITS));
  }
  return prefixes;
}
