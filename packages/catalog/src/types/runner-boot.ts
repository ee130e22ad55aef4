import type { RunnerEntry } from './runner-entry.ts';

/** One boot of a runner, which may start again under the same id. */
export type RunnerBoot = Pick<RunnerEntry, 'id' | 'bornMs'>;
