import yargs from 'yargs';
import { keyCommand } from '../commands/key.ts';
import { requestCommand } from '../commands/request.ts';
import { serveCommand } from '../commands/serve.ts';
import { settingsCommand } from '../commands/settings.ts';
import { servePlatformCommand } from '../commands/serve-platform.ts';
import { statusCommand } from '../commands/status.ts';
import { storyCommand } from '../commands/story.ts';
import { ticketCommand } from '../commands/ticket.ts';
import { versionCommand } from '../commands/version.ts';
import { UsageInvalid } from '../errors/usage-invalid.ts';
import { ExitCode } from '../types/exit-code.ts';
import { describeFailure } from '../utils/describe-failure.ts';
import { exitCodeOf } from '../utils/exit-code-of.ts';
import { failureJson } from '../utils/failure-json.ts';

const COLUMNS = 100;
/** Name of the errors in which yargs wraps what the validation of an option throws. */
const YARGS_ERROR = 'YError';

/** Runs the command line `args`, prints any failure to stderr and returns the exit code. */
export async function run(args: readonly string[]): Promise<ExitCode> {
  try {
    await yargs([...args])
      .scriptName('ragwortrudder')
      .usage('$0 <command>\n\nServes requests of tenants on reclaimable VMs.')
      .command(serveCommand)
      .command(servePlatformCommand)
      .command(settingsCommand)
      .command(ticketCommand)
      .command(statusCommand)
      .command(requestCommand)
      .command(keyCommand)
      .command(storyCommand)
      .command(versionCommand)
      .demandCommand(1, 'name a command')
      .version(false)
      .strict()
      .wrap(COLUMNS)
      .epilogue(
        'Exit codes: 0 done, 2 usage, 3 invalid file, 4 refused, 5 unreachable, 6 timeout, 7 move undone, 8 outcome unknown, 9 cannot listen, 1 other fault.',
      )
      .fail((message, error: unknown) => {
        throw error instanceof Error && error.name !== YARGS_ERROR
          ? error
          : new UsageInvalid(message);
      })
      .parseAsync();
    return ExitCode.ok;
  } catch (error) {
    const json = args.includes('--json');
    process.stderr.write(json ? `${JSON.stringify(failureJson(error))}\n` : describeFailure(error));
    return exitCodeOf(error);
  }
}
