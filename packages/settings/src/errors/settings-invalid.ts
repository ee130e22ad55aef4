import { InvalidInput } from '@ragwortrudder/core';

/** Settings that cannot be used; lists every problem. */
export class SettingsInvalid extends InvalidInput {
  constructor(problems: readonly string[]) {
    super('the settings are not valid', problems);
  }
}
