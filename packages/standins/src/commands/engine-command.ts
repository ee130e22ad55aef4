import type { CommandModule } from 'yargs';
import * as z from 'zod';
import { EngineRunner } from '../node/engine-runner.ts';
import { RunnerHost } from '../node/runner-host.ts';
import { serveUntilSignal } from '../node/serve-until-signal.ts';
import type { EngineOptions } from '../types/engine-options.ts';
import { parseOption } from './parse-option.ts';

interface Arguments {
  readonly port: number;
  readonly runners: string;
}

const optionsSchema = z.array(
  z.custom<EngineOptions>((value) => z.looseObject({ id: z.string() }).safeParse(value).success),
);

/** `engine`: serves model runners. */
export const engineCommand: CommandModule<object, Arguments> = {
  command: 'engine',
  describe: 'serve model runners',
  builder: {
    port: {
      type: 'number',
      default: 0,
      describe: 'port of the control interface; 0 selects any free port',
    },
    runners: { type: 'string', demandOption: true, describe: 'JSON array of EngineOptions' },
  },
  handler: async ({ port, runners: text }) => {
    const runners = parseOption(optionsSchema, text).map((option) => new EngineRunner(option));
    const host = new RunnerHost(runners, (runner) => runner.stats());
    const server = {
      listen: () => host.listen('127.0.0.1', port),
      drain: (graceMs: number) => host.drain(graceMs),
    };
    await serveUntilSignal(server, () => ({
      port: host.port,
      runners: host.runners.map(({ id, address }) => ({ id, address })),
    }));
  },
};
