import { InvalidInput } from '@ragwortrudder/core';
import type { SettingsProblem } from '../types/settings-problem.ts';

/** Settings that failed validation; lists every problem. */
export class SettingsInvalid extends InvalidInput {
  readonly details: readonly SettingsProblem[];

  constructor(details: readonly SettingsProblem[]) {
    super(
      'the settings are not valid',
      details.map(({ path, found, allowed }) => `${path}: found ${found}; allowed: ${allowed}`),
    );
    this.details = details;
  }
}
