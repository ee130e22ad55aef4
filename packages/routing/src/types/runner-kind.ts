/** Kind of back end: a model engine or an application runner. */
export type RunnerKind = 'model' | 'application';
