import test from 'ava';
import { responseFraming } from '@ragwortrudder/core';

test('the framing of a response follows RFC 9112, section 6.3', (t) => {
  const get = { method: 'GET', status: 200 } as const;
  t.is(responseFraming({ ...get, headers: { 'content-length': '4' } }), 'length');
  t.is(responseFraming({ ...get, headers: { 'transfer-encoding': 'chunked' } }), 'chunked');
  t.is(responseFraming({ ...get, headers: { 'transfer-encoding': 'gzip, Chunked' } }), 'chunked');
  t.is(responseFraming({ ...get, headers: { 'transfer-encoding': 'gzip' } }), 'connection');
  t.is(responseFraming({ ...get, headers: {} }), 'connection');
  t.is(responseFraming({ method: 'HEAD', status: 200, headers: {} }), 'length');
  for (const status of [204, 304]) {
    t.is(responseFraming({ method: 'GET', status, headers: {} }), 'length');
  }
});
