import type { RunnerEntry } from '@ragwortrudder/catalog';

/** Key of one life of a runner, which may start again under the same id. */
export function incarnationOf({ id, bornMs }: Pick<RunnerEntry, 'id' | 'bornMs'>): string {
  return `${id} ${bornMs}`;
}
