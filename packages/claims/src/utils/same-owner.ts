import type { Owner } from '../types/owner.ts';

/** Tells whether both name the same life of the same node. */
export function sameOwner(a: Owner, b: Owner): boolean {
  return a.node === b.node && a.incarnation === b.incarnation;
}
