import type { SupplyPlanOptions } from '../types/supply-plan-options.ts';
import type { VmKind } from '../types/vm-kind.ts';
import type { VmRefusal } from '../types/vm-refusal.ts';
import { kindKey } from './kind-key.ts';

const DEFAULT_BACKOFF_MS = 30_000;
const DEFAULT_MAX_BACKOFF_MS = 900_000;

/** Returns the wall-clock time before which a refused kind is not requested again. */
export function backoffUntil(
  kind: VmKind,
  refusals: readonly VmRefusal[],
  options: SupplyPlanOptions,
): number {
  const refusal = refusals.find((item) => kindKey(item) === kindKey(kind));
  if (!refusal || refusal.count <= 0) return -Infinity;
  const { backoffMs = DEFAULT_BACKOFF_MS, maxBackoffMs = DEFAULT_MAX_BACKOFF_MS } = options;
  return refusal.lastAt + Math.min(maxBackoffMs, backoffMs * 2 ** (refusal.count - 1));
}
