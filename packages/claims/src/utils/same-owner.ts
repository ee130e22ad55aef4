import type { Owner } from '../types/owner.ts';

/** Returns whether both identify the same incarnation of the same node. */
export function sameOwner(a: Owner, b: Owner): boolean {
  return a.node === b.node && a.incarnation === b.incarnation;
}
