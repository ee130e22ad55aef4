import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_PREFIXES = 8192;
/** A prefix with this many different continuations is shared between sessions. */
const MIN_CONTINUATIONS = 3;
/** A session is named by this block or a later one, so that learning a short shared start moves no session. */
const FIRST_SESSION_BLOCK = 7;

/**
 * Learns from the prompts seen where sessions part: the last prefix with several continuations is
 * a shared start, and the block after it names the session.
 */
export class PrefixBranches {
  readonly #continuations: LRUCache<string, readonly string[]>;

  constructor(maxPrefixes = DEFAULT_MAX_PREFIXES) {
    this.#continuations = new LRUCache({ max: maxPrefixes });
  }

  /** Takes in a prompt and returns the block that names its session, if it has one. */
  sessionBlock(blocks: readonly string[]): string | undefined {
    let shared = -1;
    for (let i = 0; i + 1 < blocks.length; i += 1) {
      if (this.#note(blocks[i] ?? '', blocks[i + 1] ?? '') >= MIN_CONTINUATIONS) shared = i;
    }
    const named = Math.max(shared + 1, FIRST_SESSION_BLOCK);
    return blocks[Math.min(named, blocks.length - 1)];
  }

  /** Notes a continuation and returns how many are known. */
  #note(prefix: string, next: string): number {
    const known = this.#continuations.get(prefix) ?? [];
    if (known.length >= MIN_CONTINUATIONS || known.includes(next)) return known.length;
    const more = [...known, next];
    this.#continuations.set(prefix, more);
    return more.length;
  }
}
