import { spawn } from 'node:child_process';
import { once } from 'node:events';
import test from 'ava';

const MAIN = 'packages/cli/src/cli/main.ts';
const SERVE = `
  import { servePlatform } from '@ragwortrudder/platform-adapter';
  const served = servePlatform('missing.json').catch((error) => {
    process.stdout.write(error.message);
  });
  process.kill(process.pid, 'SIGHUP');
  await served;
`;
/** Sends the signal as soon as the first module of the program has been evaluated. */
const LOAD = `
  process.argv.push('main', 'serve-platform');
  import('./${MAIN}').catch(() => undefined);
  await import('./packages/cli/src/node/early-hangups.ts');
  process.kill(process.pid, 'SIGHUP');
`;

for (const [name, script] of Object.entries({
  'reads its settings': SERVE,
  'loads its program': LOAD,
})) {
  // Guards against nodes that end because their settings change right after their start.
  test(`a node that gets a SIGHUP while it ${name} goes on`, async (t) => {
    const args = ['--import=tsx', '--input-type=module', '--eval', script];
    const env = { ...process.env, RAGWORTRUDDER_CONFIG: 'missing.json' };
    const child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    const output: string[] = [];
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (bytes: Buffer) => output.push(bytes.toString()));
    }
    const [, signal] = (await once(child, 'close')) as [number | null, string | null];
    t.is(signal, null);
    t.regex(output.join(''), /cannot read settings file missing\.json/);
  });
}
