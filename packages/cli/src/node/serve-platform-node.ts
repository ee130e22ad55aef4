import { servePlatform } from '@ragwortrudder/platform-adapter';
import { ExitCode } from '../types/exit-code.ts';
import { describeFailure } from '../utils/describe-failure.ts';
import { exitCodeOf } from '../utils/exit-code-of.ts';

/** Environment variable that holds the path of the settings file. */
const SETTINGS_VARIABLE = 'RAGWORTRUDDER_CONFIG';
const DEFAULT_SETTINGS_PATH = '/etc/ragwortrudder/boot.toml';

/** Runs a node on the users' platform until it is stopped, and returns the exit code. */
export async function servePlatformNode(): Promise<ExitCode> {
  try {
    await servePlatform(process.env[SETTINGS_VARIABLE] ?? DEFAULT_SETTINGS_PATH);
    return ExitCode.ok;
  } catch (error) {
    process.stderr.write(describeFailure(error));
    return exitCodeOf(error);
  }
}
