import type { CommandModule } from 'yargs';
import * as z from 'zod';
import { Platform } from '../node/platform.ts';
import { serveUntilSignal } from '../node/serve-until-signal.ts';
import type { PlatformOptions } from '../types/platform-options.ts';
import { parseOption } from './parse-option.ts';

interface Arguments {
  readonly port: number;
  readonly options: string;
}

const options = z.custom<PlatformOptions>((value) => typeof value === 'object' && value !== null);

/** `platform`: serves the log, the cloud API, the list of VMs and the weight store. */
export const platformCommand: CommandModule<object, Arguments> = {
  command: 'platform',
  describe: 'serve the log, the cloud API, the list of VMs and the weight store',
  builder: {
    port: { type: 'number', default: 0, describe: 'port to listen on; 0 selects any free port' },
    options: { type: 'string', default: '{}', describe: 'PlatformOptions as JSON' },
  },
  handler: async ({ port, options: text }) => {
    const platform = new Platform({ ...parseOption(options, text), port });
    await serveUntilSignal(platform, () => ({ port: platform.port }));
  },
};
