import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { applicationCommand } from '../commands/application-command.ts';
import { engineCommand } from '../commands/engine-command.ts';
import { platformCommand } from '../commands/platform-command.ts';
import { relayCommand } from '../commands/relay-command.ts';
import { endWithParent } from '../node/end-with-parent.ts';

endWithParent();

void yargs(hideBin(process.argv))
  .scriptName('standins')
  .command(platformCommand)
  .command(engineCommand)
  .command(applicationCommand)
  .command(relayCommand)
  .demandCommand(1)
  .strict()
  .parseAsync();
