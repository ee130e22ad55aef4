import type { CommandModule } from 'yargs';
import { settingsSchema } from '@ragwortrudder/settings';

interface SchemaOptions {
  readonly json: boolean;
}

/** `settings schema`: prints the JSON Schema of the settings. */
export const settingsSchemaCommand: CommandModule<object, SchemaOptions> = {
  command: 'schema',
  describe: 'print the JSON Schema of the settings',
  builder: (args) =>
    args
      .option('json', { type: 'boolean', default: false, describe: 'print the schema on one line' })
      .example(
        '$0 settings schema > settings.schema.json',
        'write the schema to a file for editors and other programs',
      ),
  handler: ({ json }) => {
    process.stdout.write(`${JSON.stringify(settingsSchema(), undefined, json ? 0 : 2)}\n`);
  },
};
