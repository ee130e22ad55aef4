import type { CommandModule } from 'yargs';
import manifest from '../../package.json' with { type: 'json' };
import { print } from '../node/print.ts';

interface VersionOptions {
  readonly json: boolean;
}

/** `version`: prints the version of this binary. */
export const versionCommand: CommandModule<object, VersionOptions> = {
  command: 'version',
  describe: 'print the version',
  builder: (args) =>
    args
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' })
      .example('$0 version', 'print the version of this binary'),
  handler: ({ json }) => {
    const { version } = manifest;
    print({ json, value: { version }, text: `ragwortrudder ${version}\n` });
  },
};
