import type { TeamLimit } from '@ragwortrudder/catalog';
import type { GatewaySettings } from '../types/gateway-settings.ts';

/**
 * Fraction of the tolerance that is used; the rest covers what nodes admit before they receive each
 * other's reports.
 */
const USED_TOLERANCE_SHARE = 0.35;

/** Limit that is enforced for a team: its configured limit plus a fraction of the permitted overage. */
export function toleratedLimit(
  { perSecond, burst }: TeamLimit,
  { overage, slack }: GatewaySettings['quotas'],
): { readonly perSecond: number; readonly burst: number } {
  const factor = 1 + overage * USED_TOLERANCE_SHARE;
  return { perSecond: perSecond * factor, burst: burst * factor + slack * USED_TOLERANCE_SHARE };
}
