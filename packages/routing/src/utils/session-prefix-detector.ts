import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_PREFIXES = 8192;
/** A prefix with this many different continuations is shared between sessions. */
const MIN_CONTINUATIONS = 3;
/**
 * Lowest block index that identifies a session, so that detecting a short shared prefix does not
 * move sessions to other runners.
 */
const FIRST_SESSION_BLOCK = 7;

/**
 * Learns from observed prompts where sessions diverge: the last prefix with several continuations
 * is shared between sessions, and the block after it identifies the session.
 */
export class SessionPrefixDetector {
  readonly #continuations: LRUCache<string, readonly string[]>;

  constructor(maxPrefixes = DEFAULT_MAX_PREFIXES) {
    this.#continuations = new LRUCache({ max: maxPrefixes });
  }

  /**
   * Records a prompt and returns the block that identifies its session; `undefined` without blocks.
   */
  sessionBlock(blocks: readonly string[]): string | undefined {
    let lastSharedIndex = -1;
    for (let i = 0; i + 1 < blocks.length; i += 1) {
      if (this.#recordContinuation(blocks[i] ?? '', blocks[i + 1] ?? '') >= MIN_CONTINUATIONS)
        lastSharedIndex = i;
    }
    const sessionIndex = Math.max(lastSharedIndex + 1, FIRST_SESSION_BLOCK);
    return blocks[Math.min(sessionIndex, blocks.length - 1)];
  }

  /** Records a continuation and returns the number of known continuations of the prefix. */
  #recordContinuation(prefix: string, next: string): number {
    const known = this.#continuations.get(prefix) ?? [];
    if (known.length >= MIN_CONTINUATIONS || known.includes(next)) return known.length;
    const updated = [...known, next];
    this.#continuations.set(prefix, updated);
    return updated.length;
  }
}
