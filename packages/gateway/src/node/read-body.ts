import type { IncomingMessage, ServerResponse } from 'node:http';
import { ByteBuffer } from '@ragwortrudder/core';
import { Refusal } from '../errors/refusal.ts';
import type { BodyBudget } from '../utils/body-budget.ts';
import type { CallerConnection } from './caller-connection.ts';

interface ReadBodyOptions {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly bodies: BodyBudget;
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number;
}

const HTTP_PAYLOAD_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;
/** Retry-After of a request for whose body there is no memory, in milliseconds. */
const MEMORY_RETRY_MS = 500;

/** Reads the body of a request, whose memory is accounted for until the request has been answered. */
export function readBody({
  message,
  response,
  connection,
  bodies,
  maxBytes,
}: ReadBodyOptions): Promise<Buffer | undefined | 'broken'> {
  const { headers } = message;
  const hasBody =
    headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
  return new Promise((resolve, reject) => {
    let body: ByteBuffer | undefined = new ByteBuffer();
    let heldBytes = 0;
    const refuse = (refusal: Refusal): void => {
      body = undefined;
      bodies.remove(holder);
      reject(refusal);
    };
    const holder = {
      evict: () => {
        const options = { status: HTTP_UNAVAILABLE, retryAfterMs: MEMORY_RETRY_MS };
        refuse(new Refusal('memory-full', options));
      },
    };
    const append = (bytes: Buffer): void => {
      if (!body) return;
      if (body.length + bytes.length > maxBytes) {
        refuse(new Refusal('body-too-large', { status: HTTP_PAYLOAD_TOO_LARGE }));
        return;
      }
      body.append(bytes);
      if (body.heldBytes === heldBytes) return;
      heldBytes = body.heldBytes;
      bodies.grow(holder, heldBytes);
    };
    message.on('data', (bytes: Buffer) => {
      connection.receive(bytes, append);
    });
    message.on('end', () => {
      bodies.complete(holder);
      resolve(hasBody ? body?.take() : undefined);
    });
    message.on('error', () => {
      resolve('broken');
    });
    message.on('close', () => {
      resolve('broken');
    });
    response.once('close', () => {
      body = undefined;
      bodies.remove(holder);
    });
  });
}
