/** Why tokens had to be recomputed. */
export type RecomputeCause = 'move' | 'reclaim' | 'failure' | 'silent-connection' | 'eviction';
