import type { CommandModule } from 'yargs';
import manifest from '../../package.json' with { type: 'json' };

/** `version`: prints the version of this binary. */
export const versionCommand: CommandModule = {
  command: 'version',
  describe: 'print the version',
  handler: () => {
    process.stdout.write(`ragwortrudder ${manifest.version}\n`);
  },
};
