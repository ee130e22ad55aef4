import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { serveCommand } from '../commands/serve.ts';
import { versionCommand } from '../commands/version.ts';

void yargs(hideBin(process.argv))
  .scriptName('ragwortrudder')
  .command(serveCommand)
  .command(versionCommand)
  .demandCommand(1)
  .strict()
  .parseAsync();
