import '../node/early-hangups.ts';
import '../node/expected-warnings.ts';
import { embeddedCommandLine } from '../node/embedded-command-line.ts';
import { hideBin } from 'yargs/helpers';

const args = hideBin(process.argv);

/** Loads only what the command needs, so that nodes on small VMs do not load the other commands. */
async function main(): Promise<number> {
  if (args[0] === 'serve-platform' && args.length === 1) {
    const { servePlatformNode } = await import('../node/serve-platform-node.ts');
    return servePlatformNode();
  }
  const { run } = embeddedCommandLine() ?? (await import('../node/run.ts'));
  return run(args);
}

void main().then((code) => {
  process.exitCode = code;
});
