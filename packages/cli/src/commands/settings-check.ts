import type { CommandModule } from 'yargs';
import { checkSettings } from '@ragwortrudder/settings';
import { print } from '../node/print.ts';
import { readText } from '../node/read-text.ts';

interface CheckOptions {
  readonly file: string;
  readonly json: boolean;
}

/** `settings check`: tells every problem of a file of settings. */
export const settingsCheckCommand: CommandModule<object, CheckOptions> = {
  command: 'check <file>',
  describe: 'tell every problem of a file of settings: its path, what was found, what is allowed',
  builder: (args) =>
    args
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'file of settings (JSON)',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' })
      .example('$0 settings check node.json', 'exit code 0 when it can be used, else 3'),
  handler: async ({ file, json }) => {
    const { node } = checkSettings(await readText(file));
    print({
      json,
      value: { valid: true, node: node.id },
      text: `${file} is valid (node ${node.id})\n`,
    });
  },
};
