import type { ConfigurationChange } from '../types/configuration-change.ts';

/** All changes of the configuration, in the order in which a series takes them. */
export const CONFIGURATION_CHANGES: readonly ConfigurationChange[] = [
  'configure-timeouts',
  'configure-moves',
  'configure-idle',
  'configure-removes',
  'configure-attempts',
  'configure-keys',
  'configure-caps',
];
