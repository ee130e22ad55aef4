import type { Route } from '@ragwortrudder/catalog';

/** Whether a request of a route may run more than once. */
export function isRepeatable({ kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}
