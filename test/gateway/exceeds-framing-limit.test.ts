import test from 'ava';
import { exceedsFramingLimit } from '../../packages/gateway/src/utils/exceeds-framing-limit.ts';

const MB = 1024 * 1024;
const baseBytes = MB;
/** Bytes of a chunk with one byte: `1`, CRLF, the byte, CRLF. */
const TINY_CHUNK_BYTES = 6;

test('framing without a body is limited', (t) => {
  t.false(exceedsFramingLimit({ baseBytes, wireBytes: MB, bodyBytes: 0 }));
  t.true(exceedsFramingLimit({ baseBytes, wireBytes: MB + 1, bodyBytes: 0 }));
});

test('a body of 200 KB in chunks of one byte is within the limit, one without end is not', (t) => {
  const received = (bodyBytes: number) => ({
    baseBytes,
    wireBytes: TINY_CHUNK_BYTES * bodyBytes,
    bodyBytes,
  });
  t.false(exceedsFramingLimit(received(200 * 1024)));
  t.true(exceedsFramingLimit(received(MB)));
});

test('chunks of the size of a token are never too much framing', (t) => {
  const tokens = 10_000_000;
  t.false(exceedsFramingLimit({ baseBytes, wireBytes: tokens * (8 + 6), bodyBytes: tokens * 8 }));
});
