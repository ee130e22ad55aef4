export { Daemon } from './node/daemon.ts';
export { createDaemon } from './node/create-daemon.ts';
export { Metrics } from './node/metrics/metrics.ts';
export type { Problem } from './types/problem.ts';
