/** Ways to finish a request whose endpoint is leaving. */
export type ReclaimAction = 'finish' | 'move-kv' | 'recompute';
