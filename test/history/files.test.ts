import { appendFile, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { InvalidInput, ManualClock } from '@ragwortrudder/core';
import { HistoryWriter, orderHistory, parseHistory, readHistory } from '@ragwortrudder/history';
import { answer, historyOf, reorder } from './events.ts';

test('histories of several processes are merged by time and keep the order within each process', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'history-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const clock = new ManualClock(1_000);
  const paths = ['a', 'b'].map((process) => join(folder, `${process}.jsonl`));
  const [a, b] = paths.map((path, at) => new HistoryWriter({ path, process: `p${at}`, clock }));
  a?.record(reorder('x'));
  clock.advance(5);
  b?.record(answer('x', 'accepted'));
  clock.advance(5);
  a?.record(answer('x', 'done', { word: 'completed' }));
  await Promise.all([a?.close(), b?.close(), a?.close()]);
  a?.record(reorder('ignored after close'));
  await appendFile(paths[0] ?? '', '{"type":"invoc');
  const history = await readHistory(paths);
  t.deepEqual(
    history.map(({ process, seq, at }) => [process, seq, at]),
    [
      ['p0', 0, 1_000],
      ['p1', 0, 1_005],
      ['p0', 1, 1_010],
    ],
  );
});

test('a wall clock that is set back does not reorder the events of a process', (t) => {
  const history = historyOf([100, reorder('x')], [50, reorder('y')], [120, reorder('z')]);
  t.deepEqual(orderHistory(history.toReversed()), history);
});

test('an invalid line is rejected with its file and line number', (t) => {
  const broken = t.throws(() => parseHistory('{}\nnonsense\n', 'f'), { instanceOf: InvalidInput });
  t.regex(broken.hint, /f:1/);
  const text = t.throws(() => parseHistory('nonsense\n', 'f'), { instanceOf: InvalidInput });
  t.regex(text.hint, /f:1: not JSON/);
});
