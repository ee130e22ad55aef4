import type { CommandModule } from 'yargs';
import { servePlatformNode } from '../node/serve-platform-node.ts';

/** `serve-platform`: runs a node on the users' platform until it receives SIGTERM or SIGINT. */
export const servePlatformCommand: CommandModule = {
  command: 'serve-platform',
  describe: "run a node on the users' platform until SIGTERM or SIGINT",
  builder: (args) =>
    args.example(
      'RAGWORTRUDDER_CONFIG=node.json $0 serve-platform',
      'run a node with settings generated from deploy/settings.template',
    ),
  handler: async () => {
    process.exitCode = await servePlatformNode();
  },
};
