/** Why tokens were computed again. */
export type RecomputeCause = 'move' | 'reclaim' | 'failure' | 'silent-connection' | 'eviction';
