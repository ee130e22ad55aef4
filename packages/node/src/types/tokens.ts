import type { Clock, Random } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import type { ServiceIdentifier } from 'inversify';
import type { LiveIncarnation } from '../node/lifecycle/live-incarnation.ts';

interface Tokens {
  readonly settings: ServiceIdentifier<Settings>;
  readonly clock: ServiceIdentifier<Clock>;
  readonly random: ServiceIdentifier<Random>;
  readonly incarnation: ServiceIdentifier<LiveIncarnation>;
}

/** Injection tokens of the dependencies that are not classes. */
export const tokens: Tokens = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  random: Symbol.for('random'),
  incarnation: Symbol.for('incarnation'),
};
