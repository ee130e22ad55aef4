import { request as sendHttp } from 'node:http';
import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';
import { request as sendHttps } from 'node:https';
import { CallFailure } from '../errors/call-failure.ts';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import { ByteBuffer } from '../utils/byte-buffer.ts';
import { ConnectionMonitor } from './connection-monitor.ts';
import { InterimMonitor } from './interim-monitor.ts';
import { limitConnectTime } from './limit-connect-time.ts';
import { limitFraming } from './limit-framing.ts';
import { readBody } from './read-body.ts';

/** Codes of errors of connections that were never open, so that nothing was sent. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'EADDRNOTAVAIL',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/**
 * Makes one HTTP call, without retries and redirects. The memory that the response takes is bounded
 * whatever is sent: its head by Node.js, its body by `maxBodyBytes`, and the bytes between by
 * {@link limitFraming}.
 * @throws {@link CallFailure} without a whole response with a valid head in time; the call may still have taken effect
 * unless `notRun` is set.
 */
export async function callHttp(call: HttpCall): Promise<HttpReply> {
  const { body, timeoutMs, connectTimeoutMs = timeoutMs, maxBodyBytes } = call;
  const buffer = new ByteBuffer();
  const request = send(call);
  const connection = new ConnectionMonitor(request);
  const interim = new InterimMonitor(request);
  let failure: Error | undefined;
  request.on('error', (error) => {
    failure ??= error;
  });
  limitFraming(request, () => buffer.length);
  limitConnectTime(request, connectTimeoutMs);
  const timer = setTimeout(() => {
    request.destroy(
      new CallFailure({ reason: 'timeout', message: `no response within ${timeoutMs} ms` }),
    );
  }, timeoutMs);
  try {
    const response = await responseTo(request, body);
    await readBody({ request, response, connection, interim }, buffer, maxBodyBytes);
    return {
      status: response.statusCode ?? 0,
      headers: response.headers,
      body: buffer.take(),
    };
  } catch (error) {
    request.destroy();
    throw toCallFailure(failure ?? error);
  } finally {
    clearTimeout(timer);
  }
}

function send({
  url,
  method = 'GET',
  headers,
  body,
  agent = false,
  signal,
}: HttpCall): ClientRequest {
  const target = new URL(url);
  const length = body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) };
  const options: RequestOptions = {
    method,
    agent,
    headers: { ...headers, ...length },
    ...(signal ? { signal } : {}),
  };
  return target.protocol === 'https:' ? sendHttps(target, options) : sendHttp(target, options);
}

function responseTo(
  request: ClientRequest,
  body: string | Buffer | undefined,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once('response', resolve);
    request.once('error', reject);
    // The only event after an upgrade that nobody asked for.
    request.once('close', () => {
      reject(new CallFailure({ reason: 'closed', message: 'connection closed before a response' }));
    });
    request.end(body);
  });
}

function toCallFailure(error: unknown): CallFailure {
  if (error instanceof CallFailure) return error;
  const code = error instanceof Error && 'code' in error ? String(error.code) : 'unexpected';
  const message = error instanceof Error ? error.message : String(error);
  // Errors with these codes also end connections that were open.
  const wasOpen = error instanceof Error && 'syscall' in error && error.syscall === 'read';
  const notRun = CONNECT_ERRORS.has(code) && !wasOpen;
  return new CallFailure({ reason: code, message, notRun, cause: error });
}
