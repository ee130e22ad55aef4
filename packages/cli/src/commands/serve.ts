import { readFile } from 'node:fs/promises';
import type { CommandModule } from 'yargs';
import { createDaemon } from '@ragwortrudder/node';
import { checkSettings } from '@ragwortrudder/settings';

interface ServeOptions {
  readonly settings: string;
}

/** `serve`: runs a node until it is told to stop. */
export const serveCommand: CommandModule<object, ServeOptions> = {
  command: 'serve',
  describe: 'run a node until SIGTERM or SIGINT',
  builder: (args) =>
    args
      .option('settings', {
        type: 'string',
        demandOption: true,
        describe: 'file of settings (JSON)',
      })
      .example('$0 serve --settings node.json', 'run a node'),
  handler: async ({ settings }) => {
    const daemon = createDaemon({ settings: checkSettings(await readFile(settings, 'utf8')) });
    for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void daemon.stop());
    await daemon.start();
    process.stdout.write(`${JSON.stringify({ listening: true, ports: daemon.ports })}\n`);
    await daemon.stopped();
  },
};
