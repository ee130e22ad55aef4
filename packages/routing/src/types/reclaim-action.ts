/**
 * Ways to finish a request whose VM has a reclaim notice: in place, by moving its KV cache to
 * another runner, or by computing its tokens again on another runner.
 */
export type ReclaimAction = 'finish' | 'move-kv' | 'recompute';
