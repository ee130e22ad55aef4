import { createHash } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Random } from '../types/random.ts';

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Spreads adjacent seeds over the seed space, as the generator's first numbers are similar for
 * adjacent seeds.
 */
function hashSeed(seed: number): number {
  return createHash('sha256').update(String(seed)).digest().readInt32LE();
}

/** Deterministic {@link Random}: the same seed produces the same sequence. */
export class SeededRandom implements Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(hashSeed(seed));
  }

  next(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }
}
