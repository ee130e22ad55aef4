import { createHash } from 'node:crypto';
import { canonicalJson } from './canonical-json.ts';

/** Returns the hexadecimal SHA-256 of the canonical JSON form of `value`. */
export function digest(value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex');
}
