import { run } from '@ragwortrudder/cli';

interface Captured {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line in this process and returns what it printed; one at a time. */
export async function runCaptured(args: readonly string[]): Promise<Captured> {
  const { stdout, stderr } = process;
  const texts = { out: '', err: '' };
  const writers = { out: stdout.write.bind(stdout), err: stderr.write.bind(stderr) };
  const take = (name: 'out' | 'err') => (text: string | Uint8Array) => {
    texts[name] += String(text);
    return true;
  };
  stdout.write = take('out');
  stderr.write = take('err');
  try {
    return { code: await run(args), ...texts };
  } finally {
    stdout.write = writers.out;
    stderr.write = writers.err;
  }
}
