import test from 'ava';
import { runInBackground } from '../../packages/node/src/node/metrics/run-in-background.ts';

// Guards against: a failure of work that nobody waits for ended the node.
test('a failure of work in the background is counted and ends nothing', async (t) => {
  const counted: string[] = [];
  const metrics = {
    count: (name: string, labels: Readonly<Record<string, string>> = {}): void => {
      counted.push(`${name} ${labels.task ?? ''}`);
    },
  };
  runInBackground({ task: 'a', metrics, promise: Promise.reject(new Error('failed')) });
  runInBackground({ task: 'b', metrics, promise: Promise.resolve() });
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(counted, ['background_failures a']);
});
