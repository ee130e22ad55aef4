import type { CommandModule } from 'yargs';
import * as z from 'zod';
import { ApplicationRunner } from '../node/application-runner.ts';
import { RunnerHost } from '../node/runner-host.ts';
import { serveUntilSignal } from '../node/serve-until-signal.ts';
import type { ApplicationOptions } from '../types/application-options.ts';
import { parseOption } from './parse-option.ts';

interface Arguments {
  readonly port: number;
  readonly runners: string;
}

const optionsSchema = z.array(
  z.custom<ApplicationOptions>(
    (value) => z.looseObject({ id: z.string() }).safeParse(value).success,
  ),
);

/** `application`: serves application runners. */
export const applicationCommand: CommandModule<object, Arguments> = {
  command: 'application',
  describe: 'serve application runners',
  builder: {
    port: {
      type: 'number',
      default: 0,
      describe: 'port of the control interface; 0 selects any free port',
    },
    runners: { type: 'string', demandOption: true, describe: 'JSON array of ApplicationOptions' },
  },
  handler: async ({ port, runners: text }) => {
    const runners = parseOption(optionsSchema, text).map((option) => new ApplicationRunner(option));
    const host = new RunnerHost(runners, (runner) => ({ runner: runner.id, runs: runner.runs() }));
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
