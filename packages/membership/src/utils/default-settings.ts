import type { MembershipSettings } from '../types/membership-settings.ts';

/** Defaults of {@link MembershipSettings}. */
export const DEFAULT_SETTINGS: MembershipSettings = {
  probePeriodMs: 1000,
  probeTimeoutMs: 300,
  suspicionMs: 3000,
  domainSuspicionMs: 10_000,
  indirectProbes: 3,
  crossDomainRounds: 2,
  syncRounds: 10,
  suspectsPerRound: 3,
  gossipBytes: 420,
  syncBytes: 4096,
  goneRetentionMs: 3_600_000,
};
