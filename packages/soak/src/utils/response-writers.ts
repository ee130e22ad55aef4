interface ResponseOptions {
  /** Lines of the head, each with its line end, beside those that frame the body. */
  readonly fields?: string;
  readonly body: string;
}

type Writer = (options: ResponseOptions) => string;

function withStatusLine(line: string): Writer {
  return ({ fields = '', body }) =>
    `${line}\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function withField(field: string): Writer {
  return ({ fields = '', body }) =>
    withStatusLine('HTTP/1.1 200 OK')({ fields: `${fields}${field}\r\n`, body });
}

function withCoding(coding: string, encode: (body: string) => string = String): Writer {
  return ({ fields = '', body }) =>
    `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: ${coding}\r\n\r\n${encode(body)}`;
}

function inChunks(body: string, trailer = ''): string {
  return `${body.length.toString(16)}\r\n${body}\r\n0\r\n${trailer}\r\n`;
}

/** Write whole responses, as bytes in Latin-1, whose heads are given byte by byte. */
export const RESPONSE_WRITERS = {
  /** A body with a length behind a status line. */
  withStatusLine,
  /** A body with a length, and one more line in the head. */
  withField,
  /** A body that ends with its connection, whose head names a coding. */
  withCoding,
  /** The only chunk of a body and its last one. */
  inChunks,
} as const;
