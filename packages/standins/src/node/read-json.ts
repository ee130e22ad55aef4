import type { IncomingMessage } from 'node:http';
import { InvalidInput } from '@ragwortrudder/core';
import { BodyTooLarge } from '../errors/body-too-large.ts';

function parse(text: string): unknown {
  if (text === '') return {};
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new InvalidInput('request body is not valid JSON', [String(error)]);
  }
}

/** Parses the body of a request as JSON; an empty body yields an empty object. */
export async function readJson(request: IncomingMessage, limitBytes: number): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= limitBytes) chunks.push(chunk);
  }
  if (size > limitBytes) throw new BodyTooLarge(limitBytes);
  return parse(Buffer.concat(chunks).toString('utf8'));
}
