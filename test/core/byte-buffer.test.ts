import test from 'ava';
import { ByteBuffer } from '@ragwortrudder/core';

const MB = 1024 * 1024;

test('pieces are joined in their order', (t) => {
  const buffer = new ByteBuffer();
  for (const piece of ['a', '', 'bc', 'd'.repeat(1_000), 'e']) buffer.append(Buffer.from(piece));
  t.is(buffer.bytes.toString(), `abc${'d'.repeat(1_000)}e`);
  t.is(buffer.length, 1_004);
});

test('a part that is taken is not overwritten by later pieces', (t) => {
  const buffer = new ByteBuffer();
  buffer.append(Buffer.from('first|rest'));
  const taken = buffer.take(6);
  buffer.append(Buffer.from(' and more'));
  t.is(taken.toString(), 'first|');
  t.is(buffer.take().toString(), 'rest and more');
  t.is(buffer.length, 0);
  t.is(buffer.heldBytes, 0);
});

// Guards against memory that grows with the number of pieces, or with the blocks that they are views of.
test('pieces of one byte hold no more than twice their bytes', (t) => {
  const buffer = new ByteBuffer();
  const block = Buffer.alloc(64 * 1024, 'x');
  for (let index = 0; index < MB; index += 1) {
    const at = index % block.length;
    buffer.append(block.subarray(at, at + 1));
  }
  t.is(buffer.length, MB);
  t.true(buffer.heldBytes <= 2 * MB);
  t.true(buffer.bytes.every((byte) => byte === 0x78));
});

test('the memory that is held is what the block takes', (t) => {
  const buffer = new ByteBuffer();
  t.is(buffer.heldBytes, 0);
  buffer.append(Buffer.alloc(10));
  t.true(buffer.heldBytes >= 10);
  buffer.append(Buffer.alloc(5 * MB));
  t.true(buffer.heldBytes >= buffer.length && buffer.heldBytes <= 2 * buffer.length);
});
