import type { CommandModule } from 'yargs';
import { CallerClient } from '@ragwortrudder/client';
import type { KeyReport } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';

interface ShowOptions extends ConnectionOptions {
  readonly key: string;
}

function reportText({ key, word, requestId, result }: KeyReport): string {
  const request = requestId === undefined ? '' : `  request  ${requestId}\n`;
  const outcome = result === undefined ? '' : `  result   ${JSON.stringify(result)}\n`;
  return `key ${key}: ${word}\n${request}${outcome}`;
}

/** `key show`: shows the outcome of a non-idempotent request. */
export const keyShowCommand: CommandModule<object, ShowOptions> = {
  command: 'show <key>',
  describe: 'show the outcome of the request with an idempotency key of this tenant',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('key', {
        type: 'string',
        demandOption: true,
        describe: 'idempotency key that the request was sent with',
      })
      .example(
        '$0 key show reorder-417 --node 10.0.0.1:7000 --key-file tenant.key',
        'look up a key',
      ),
  handler: async ({ key: idempotencyKey, node, 'key-file': keyFile, json }) => {
    const key = await readKey(keyFile);
    const client = new CallerClient({ nodes: node, key, random: new SeededRandom(process.pid) });
    const report = await client.showKey(idempotencyKey);
    print({ json, value: report, text: reportText(report) });
  },
};
