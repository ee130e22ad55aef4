import type { FaultKind } from './fault-kind.ts';

/** Faults that change the configuration for a time. */
export type ConfigurationChange = Exclude<
  Extract<FaultKind, `configure-${string}`>,
  'configure-series'
>;
