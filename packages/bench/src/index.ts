export type { AnswerTiming } from './types/answer-timing.ts';
export type { Experiment } from './types/experiment.ts';
export type { ExperimentOptions } from './types/experiment-options.ts';
export type { PlannedRequest } from './types/planned-request.ts';
export type { ResultRow } from './types/result-row.ts';
export type { ResultTable } from './types/result-table.ts';
export type { WorkloadOptions } from './types/workload-options.ts';
