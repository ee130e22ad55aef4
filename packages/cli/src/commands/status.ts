import type { CommandModule } from 'yargs';
import { OperatorClient } from '@ragwortrudder/client';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { statusText } from '../utils/status-text.ts';

/** `status`: shows the state of the cluster as one node observes it. */
export const statusCommand: CommandModule<object, ConnectionOptions> = {
  command: 'status',
  describe: 'show the status of a node: members, runners, moves, log lag, refusals by cause',
  builder: (args) =>
    addConnectionOptions(args)
      .example('$0 status --node 10.0.0.1:7000 --key-file operator.key', 'human-readable tables')
      .example(
        '$0 status --json --node 10.0.0.1:7000 --key-file operator.key',
        'JSON for programs',
      ),
  handler: async ({ node, 'key-file': keyFile, json }) => {
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const status = await client.status();
    print({ json, value: status, text: statusText(status) });
  },
};
