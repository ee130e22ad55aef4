import { gzipSync } from 'node:zlib';
import { RESPONSE_WRITERS } from './response-writers.ts';

type Writer = ReturnType<typeof withField>;

const { withStatusLine, withField, withCoding, inChunks } = RESPONSE_WRITERS;
const SPOILT_FIELD = 'X-Spoilt: a\u0001b\r\n';

function withChunks(coding: string, encode: (body: string) => string = String): Writer {
  return withCoding(coding, (body) => inChunks(encode(body)));
}

function zip(body: string): string {
  return gzipSync(body).toString('latin1');
}

/**
 * Responses, by what is wrong with them, that are whole but for their heads, trailers or interim responses;
 * as bytes in Latin-1. The connection is closed after each.
 */
export const SPOILT_RESPONSES: Readonly<Record<string, Writer>> = {
  'a blank in a name': withField('X Spoilt: 1'),
  'a control byte in a name': withField('X-Sp\u0001ilt: 1'),
  'a blank before a colon': withField('X-Spoilt : 1'),
  'an empty name': withField(': 1'),
  'a control byte in a value': withField('X-Spoilt: a\u0001b'),
  'a NUL in a value': withField('X-Spoilt: a\u0000b'),
  'a DEL in a value': withField('X-Spoilt: a\u007fb'),
  'a bare CR in a value': withField('X-Spoilt: a\rb'),
  'a bare LF in a value': withField('X-Spoilt: a\nb'),
  'a control byte in the reason': withStatusLine('HTTP/1.1 200 O\u0001K'),
  'version 0.9': withStatusLine('HTTP/0.9 200 OK'),
  'version 2.0': withStatusLine('HTTP/2.0 200 OK'),
  'status 000': withStatusLine('HTTP/1.1 000 OK'),
  'a control byte in an interim response': (options) =>
    `HTTP/1.1 102 Processing\r\n${SPOILT_FIELD}\r\n${withField('X-A: 1')(options)}`,
  'coding gzip': withCoding('gzip', zip),
  'coding identity': withCoding('identity'),
  'no coding': withCoding(''),
  'chunks in gzip': withChunks('gzip, chunked', zip),
  'chunks in gzip, on two lines': withChunks('gzip\r\nTransfer-Encoding: chunked', zip),
  'gzip in chunks': withCoding('chunked, gzip', (body) => zip(inChunks(body))),
  'chunks twice': withChunks('chunked, chunked', inChunks),
  'chunks with a parameter': withChunks('chunked;q=1'),
  'chunks in another name': withChunks('xchunked'),
  'chunks, with an empty name behind': withChunks('chunked,'),
  'chunks and a length': withChunks('chunked\r\nContent-Length: 2'),
  'two lengths': withField('Content-Length: 1'),
  'a length in words': withField('Content-Length: two'),
  'two types': withField('Content-Type: text/a\r\nContent-Type: text/b'),
  'a control byte in a trailer': withCoding('chunked', (body) => inChunks(body, SPOILT_FIELD)),
};
