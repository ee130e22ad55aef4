import test from 'ava';
import fc from 'fast-check';
import { PlatformCatalogCodec } from '@ragwortrudder/platform-adapter';

const SEED = 47;
const RUNS = 500;
const codec = new PlatformCatalogCodec();
const topic = codec.configurationTopic;

test('any JSON object orders an evacuation, and a record without a value withdraws it', (t) => {
  for (const text of ['{}', '{"reason":"power"}', '{"zone":7}']) {
    const value = Buffer.from(text);
    const order = codec.decodeEvacuation('evacuate/zone a/1', value);
    t.deepEqual(order, { failureDomain: 'zone a/1', state: 'ordered' });
    t.is(codec.problemOf(topic, 'evacuate/zone a/1', value), undefined);
  }
  const withdrawn = codec.decodeEvacuation('evacuate/a', undefined);
  t.deepEqual(withdrawn, { failureDomain: 'a', state: 'withdrawn' });
});

test('a name that is empty or longer than 256 characters is rejected with a cause', (t) => {
  const value = Buffer.from('{}');
  for (const [length, isSound] of [
    [0, false],
    [1, true],
    [256, true],
    [257, false],
  ] as const) {
    const key = `evacuate/${'z'.repeat(length)}`;
    t.is(codec.decodeEvacuation(key, value) !== undefined, isSound, `${length}`);
    t.is(codec.decodeEvacuation(key, undefined) !== undefined, isSound, `${length}`);
    t.is(codec.problemOf(topic, key, value) === undefined, isSound, `${length}`);
  }
});

test('keys of other records order no evacuation', (t) => {
  for (const key of ['config', 'rollout/s', 'evacuate', 'xevacuate/a', 'Evacuate/a']) {
    t.is(codec.decodeEvacuation(key, Buffer.from('{}')), undefined, key);
  }
});

// Guards against an evacuation that depends on how often a record is read: what cannot be read changes nothing (EVACUATION).
test('a value that is no JSON object is unreadable, with a cause', (t) => {
  const deep = `${'{"a":'.repeat(40)}1${'}'.repeat(40)}`;
  const values = ['', 'null', '[]', '"a"', '1', 'true', '{', deep, `{"a":"${'x'.repeat(65_536)}"}`];
  for (const text of values) {
    const value = Buffer.from(text);
    t.is(codec.decodeEvacuation('evacuate/a', value)?.state, 'unreadable', text.slice(0, 40));
    t.is(typeof codec.problemOf(topic, 'evacuate/a', value), 'string', text.slice(0, 40));
  }
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const isReadable = codec.decodeEvacuation('evacuate/a', bytes)?.state === 'ordered';
      t.is(codec.problemOf(topic, 'evacuate/a', bytes) === undefined, isReadable);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
