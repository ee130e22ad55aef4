import { run } from '@ragwortrudder/cli';

interface Captured {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/**
 * Runs a command line in this process and returns its exit code and output. Calls must not overlap,
 * because the writers of `process` are replaced for the time of the call.
 */
export async function runCaptured(args: readonly string[]): Promise<Captured> {
  const { stdout, stderr } = process;
  const texts = { out: '', err: '' };
  const originalWriters = { out: stdout.write.bind(stdout), err: stderr.write.bind(stderr) };
  const capture = (name: 'out' | 'err') => (text: string | Uint8Array) => {
    texts[name] += String(text);
    return true;
  };
  stdout.write = capture('out');
  stderr.write = capture('err');
  try {
    return { code: await run(args), ...texts };
  } finally {
    stdout.write = originalWriters.out;
    stderr.write = originalWriters.err;
  }
}
