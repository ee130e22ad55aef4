import { deflateRawSync } from 'node:zlib';
import test from 'ava';
import type { DomainDigest } from '../../packages/gateway/src/types/domain-digest.ts';
import { COMPACT_MARK } from '../../packages/gateway/src/utils/compact-mark.ts';
import { decodeMessage } from '../../packages/gateway/src/utils/decode-message.ts';
import { encodeMessage } from '../../packages/gateway/src/utils/encode-message.ts';
import { fitDigest } from '../../packages/gateway/src/utils/fit-digest.ts';

const LONG = { text: 'ab'.repeat(2_000) };

test('a long message is compressed for those who read it, and a short one is not', (t) => {
  const plain = encodeMessage({ method: 'm', params: LONG, mayCompress: false });
  const compressed = encodeMessage({ method: 'm', params: LONG, mayCompress: true });
  t.true(compressed.length < plain.length / 4);
  t.deepEqual(decodeMessage(compressed), { jsonrpc: '2.0', method: 'm', params: LONG });
  t.deepEqual(decodeMessage(plain), decodeMessage(compressed));
  const short = { method: 'm', params: { text: 'a' } };
  t.deepEqual(
    encodeMessage({ ...short, mayCompress: true }),
    encodeMessage({ ...short, mayCompress: false }),
  );
});

test('bytes that cannot be decompressed, or become too many, are no message', (t) => {
  const bomb = deflateRawSync(Buffer.from(JSON.stringify('a'.repeat(4_000_000))));
  t.is(decodeMessage(Buffer.concat([COMPACT_MARK, bomb])), undefined);
  t.is(decodeMessage(Buffer.concat([COMPACT_MARK, Buffer.from('not compressed')])), undefined);
  t.is(decodeMessage(COMPACT_MARK), undefined);
  t.is(decodeMessage(Buffer.alloc(0)), undefined);
});

test('a digest that is too large keeps its newest interrupted requests and all of the rest', (t) => {
  const digest: DomainDigest = {
    ...{ relay: 'n', failureDomain: 'a', life: 1, sequence: 1, members: {}, work: {}, taken: {} },
    prompts: {
      interrupted: [5, 1, 4, 2, 3].map((ageMs) => {
        return { runner: 'r', request: 'q', parts: [`p${ageMs}`], hasResponded: false, ageMs };
      }),
      served: { p1: 10, p5: 10, held: 10 },
      servedCount: 7,
      quarantined: [{ part: 'held', ageMs: 1, remainingMs: 1, failedTrials: 0 }],
    },
  };
  const fitting = fitDigest(digest, ({ prompts }) => (prompts?.interrupted.length ?? 0) <= 2);
  t.deepEqual(
    fitting.prompts?.interrupted.map(({ ageMs }) => ageMs),
    [1, 2],
  );
  t.deepEqual(fitting.prompts?.served, { p1: 10, held: 10 });
  t.is(fitting.prompts?.servedCount, 7);
  t.deepEqual(fitDigest(digest, () => false).prompts?.quarantined, digest.prompts?.quarantined);
  t.is(
    fitDigest(digest, () => true),
    digest,
  );
});
