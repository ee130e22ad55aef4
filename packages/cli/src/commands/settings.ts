import type { CommandModule } from 'yargs';
import { settingsCheckCommand } from './settings-check.ts';
import { settingsSchemaCommand } from './settings-schema.ts';

/** `settings`: commands for settings files. */
export const settingsCommand: CommandModule = {
  command: 'settings',
  describe: 'check settings, or print their schema',
  builder: (args) =>
    args
      .command(settingsCheckCommand)
      .command(settingsSchemaCommand)
      .demandCommand(1, 'name a command: check or schema')
      .example('$0 settings check node.json', 'report every problem in a settings file')
      .example('$0 settings schema', 'print the JSON Schema of the settings'),
  handler: () => undefined,
};
