import type { CommandModule } from 'yargs';
import { checkSettings } from '@ragwortrudder/settings';
import { print } from '../node/print.ts';
import { readText } from '../node/read-text.ts';

interface CheckOptions {
  readonly file: string;
  readonly json: boolean;
}

/** `settings check`: reports every problem in a settings file. */
export const settingsCheckCommand: CommandModule<object, CheckOptions> = {
  command: 'check <file>',
  describe: 'report every problem in a settings file: its path, what was found and what is allowed',
  builder: (args) =>
    args
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'settings file (JSON)',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' })
      .example('$0 settings check node.json', 'exit code 0 if the file is valid, else 3'),
  handler: async ({ file, json }) => {
    const { node } = checkSettings(await readText(file));
    print({
      json,
      value: { valid: true, node: node.id },
      text: `${file} is valid (node ${node.id})\n`,
    });
  },
};
