/** Life of a runner as the node sees it; only `ready` runners receive new work. */
export type RunnerState = 'starting' | 'ready' | 'leaving' | 'gone';
