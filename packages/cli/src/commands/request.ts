import type { CommandModule } from 'yargs';
import { CallerClient } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import { UsageInvalid } from '../errors/usage-invalid.ts';
import { AnswerPrinter } from '../node/answer-printer.ts';
import { readKey } from '../node/read-key.ts';
import { ProgressObserver } from '../node/progress-observer.ts';
import type { RequestOptions } from '../types/request-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { requestBody } from '../utils/request-body.ts';

const MS_PER_SECOND = 1000;
const DEFAULT_PATIENCE_SECONDS = 60;

function checkKeyOptions({ key, 'issue-key': issueKey }: RequestOptions): void {
  if (key !== undefined && issueKey) throw new UsageInvalid('give --key or --issue-key, not both');
}

/** `request`: sends one request and prints its answer, reconnecting as often as necessary. */
export const requestCommand: CommandModule<object, RequestOptions> = {
  command: 'request <service>',
  describe: 'send a request and print its answer; reconnects and resumes when a connection breaks',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('service', {
        type: 'string',
        demandOption: true,
        describe: 'name of the service',
      })
      .option('prompt', { type: 'string', describe: 'prompt for a model' })
      .option('max-tokens', {
        type: 'number',
        implies: 'prompt',
        describe: 'maximum length of a model answer in tokens',
      })
      .option('operation', {
        type: 'string',
        describe: 'name of the operation of an application',
      })
      .option('payload', {
        type: 'string',
        implies: 'operation',
        describe: 'payload of the operation (JSON)',
      })
      .option('class', { type: 'string', describe: 'class of the request' })
      .option('deadline', {
        type: 'number',
        describe: 'time in milliseconds from now after which the answer is no longer useful',
      })
      .option('key', {
        type: 'string',
        describe: 'idempotency key; the request runs at most once for each key',
      })
      .option('issue-key', {
        type: 'boolean',
        default: false,
        describe: 'request an idempotency key from a node and use it',
      })
      .option('patience', {
        type: 'number',
        default: DEFAULT_PATIENCE_SECONDS,
        describe: 'time in seconds for which refused or interrupted calls are retried',
      })
      .conflicts('prompt', 'operation')
      .example(
        '$0 request quotes --prompt "Draft a quote for 40 mops" --max-tokens 64 --node 10.0.0.1:7000 --key-file tenant.key',
        'send a prompt to a model',
      )
      .example(
        '$0 request orders --operation reorder --payload \'{"soap":24}\' --key reorder-417 --node 10.0.0.1:7000 --key-file tenant.key',
        'run an operation at most once',
      ),
  handler: async (options) => {
    checkKeyOptions(options);
    const body = requestBody(options);
    const nodes = options.node;
    const key = await readKey(options['key-file']);
    const client = new CallerClient({ nodes, key, random: new SeededRandom(process.pid) });
    const idempotencyKey = options['issue-key'] ? await client.issueKey() : options.key;
    const observer = new ProgressObserver();
    if (options['issue-key']) observer.writeLine(`key ${idempotencyKey ?? ''}`);
    const printer = new AnswerPrinter(options.json);
    for await (const event of client.submit({
      service: options.service,
      body,
      observer,
      patienceMs: options.patience * MS_PER_SECOND,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    })) {
      printer.printEvent(event);
    }
  },
};
