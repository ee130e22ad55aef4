/** Why a node itself ends an attempt at a runner. */
export const ABORT_REASONS = {
  silent: 'silent',
  held: 'prompt part quarantined',
} as const;
