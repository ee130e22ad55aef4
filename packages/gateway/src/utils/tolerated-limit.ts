import type { TeamLimit } from '@ragwortrudder/catalog';
import type { GatewaySettings } from '../types/gateway-settings.ts';

/** Part of the tolerance that is used; the rest covers what nodes admit before they hear of one another. */
const USED_TOLERANCE = 0.35;

/** Limit up to which a team is served: its own, and a part of what may be exceeded. */
export function toleratedLimit(
  { perSecond, burst }: TeamLimit,
  { overage, slack }: GatewaySettings['quotas'],
): { readonly perSecond: number; readonly burst: number } {
  const factor = 1 + overage * USED_TOLERANCE;
  return { perSecond: perSecond * factor, burst: burst * factor + slack * USED_TOLERANCE };
}
