import type { CommandModule } from 'yargs';
import { keyShowCommand } from './key-show.ts';

/** `key`: commands for tenants that work on idempotency keys. */
export const keyCommand: CommandModule = {
  command: 'key',
  describe: 'look up idempotency keys',
  builder: (args) =>
    args
      .command(keyShowCommand)
      .demandCommand(1, 'name a command: show')
      .example('$0 key show reorder-417 --node 10.0.0.1:7000', 'show the outcome of a request'),
  handler: () => undefined,
};
