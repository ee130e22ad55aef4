import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { versionCommand } from '../commands/version.ts';

void yargs(hideBin(process.argv))
  .scriptName('ragwortrudder')
  .command(versionCommand)
  .demandCommand(1)
  .strict()
  .parseAsync();
