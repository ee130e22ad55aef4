import type { Argv } from 'yargs';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { UsageInvalid } from '../errors/usage-invalid.ts';

const ADDRESS = /^[^\s:/]+:\d{1,5}$/;

function checkNodes(nodes: readonly string[]): string[] {
  for (const node of nodes) {
    if (!ADDRESS.test(node)) {
      throw new UsageInvalid(
        `--node ${node} is not an address: expected host:port, for example 10.0.0.1:7000`,
      );
    }
  }
  return [...nodes];
}

/** Adds the options that all commands that call nodes have in common. */
export function addConnectionOptions<T>(args: Argv<T>): Argv<T & ConnectionOptions> {
  return args
    .option('node', {
      type: 'string',
      array: true,
      nargs: 1,
      demandOption: true,
      describe: 'address of a node (host:port); may be repeated',
      coerce: checkNodes,
    })
    .option('key-file', {
      type: 'string',
      describe: 'file that holds the key; defaults to the environment variable RAGWORTRUDDER_KEY',
    })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' });
}
