import type { Random } from '@ragwortrudder/core';
import type { Owner } from '../types/owner.ts';

const WORDS = 4;
const WORD_RANGE = 0x1_0000_0000;
const HEX_DIGITS = 8;

interface IssueKeyOptions extends Owner {
  readonly random: Random;
}

/** Generates a key `k1.<node>.<incarnation>.<nonce>` under which only the named incarnation may run a request. */
export function issueKey({ node, incarnation, random }: IssueKeyOptions): string {
  const words = Array.from({ length: WORDS }, () => Math.floor(random.next() * WORD_RANGE));
  const nonce = words.map((word) => word.toString(16).padStart(HEX_DIGITS, '0')).join('');
  return `k1.${node}.${incarnation}.${nonce}`;
}
