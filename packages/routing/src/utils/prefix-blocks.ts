import { createHash } from 'node:crypto';
import { BLOCK_TOKENS } from './block-tokens.ts';

const HASH_DIGITS = 16;

/** Splits a prompt into tokens: its whitespace-separated words. */
function tokensOf(prompt: string): readonly string[] {
  const trimmed = prompt.trim();
  return trimmed === '' ? [] : trimmed.split(/\s+/);
}

/**
 * Returns one hash for each full block of the prompt. Each hash covers the text of all blocks up to
 * and including its own, so equal hashes mean equal prefixes.
 */
export function prefixBlocks(prompt: string): readonly string[] {
  const tokens = tokensOf(prompt);
  const hash = createHash('sha256');
  const names: string[] = [];
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    const text = tokens.slice(end - BLOCK_TOKENS, end).join(' ');
    hash.update(names.length === 0 ? text : ` ${text}`);
    names.push(hash.copy().digest('hex').slice(0, HASH_DIGITS));
  }
  return names;
}
