import type { CommandModule } from 'yargs';
import { createDaemon } from '@ragwortrudder/node';
import type { Daemon } from '@ragwortrudder/node';
import { checkSettings } from '@ragwortrudder/settings';
import { ListenFailed } from '../errors/listen-failed.ts';
import { print } from '../node/print.ts';
import { readText } from '../node/read-text.ts';

interface ServeOptions {
  readonly settings: string;
  readonly json: boolean;
}

async function start(daemon: Daemon): Promise<void> {
  try {
    await daemon.start();
  } catch (error) {
    await daemon.close();
    throw new ListenFailed(error);
  }
}

/** `serve`: runs a node until a signal or a reclaim notice stops it. */
export const serveCommand: CommandModule<object, ServeOptions> = {
  command: 'serve',
  describe: 'run a node until SIGTERM, SIGINT or a reclaim notice',
  builder: (args) =>
    args
      .option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'settings file (JSON)',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' })
      .example('$0 serve --settings node.json', 'run a node')
      .example(
        "DEBUG='ragwortrudder*' $0 serve --settings node.json",
        'log a line for each change of state',
      ),
  handler: async ({ settings: path, json }) => {
    const settings = checkSettings(await readText(path));
    const daemon = createDaemon({ settings });
    for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void daemon.stop());
    await start(daemon);
    const { ports } = daemon;
    print({
      json,
      value: { listening: true, ports },
      text: `node ${settings.node.id} is listening on port ${ports.callers} (callers) and port ${ports.peers} (peers)\n`,
    });
    await daemon.stopped();
    print({ json, value: { stopped: true }, text: `node ${settings.node.id} has stopped\n` });
  },
};
