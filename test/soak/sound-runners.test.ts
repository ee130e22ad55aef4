import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { Soak } from '@ragwortrudder/soak';

const SEED = 40;
const LENGTH_MS = 30_000;

// Guards against requests that are given up because sound runners fell silent for a second.
test('a short seeded soak with sound runners that fall silent loses no request', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'soak-'));
  const result = await new Soak({
    seed: SEED,
    lengthMs: LENGTH_MS,
    nodes: 3,
    callers: 12,
    folder,
  }).run();
  t.deepEqual(result.violations, [], `logs in ${folder}`);
  const kinds = new Set(result.faults.map(({ kind }) => kind));
  t.true(kinds.has('runner-silent') && kinds.has('configure-moves') && kinds.has('node-stop'));
});
