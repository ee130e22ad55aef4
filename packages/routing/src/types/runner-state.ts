/** Lifecycle state of a runner as observed by the node; only `ready` runners receive new work. */
export type RunnerState = 'starting' | 'ready' | 'leaving' | 'gone';
