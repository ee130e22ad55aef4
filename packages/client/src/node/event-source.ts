import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import {
  ByteBuffer,
  ConnectionMonitor,
  EventSizeLimit,
  InterimMonitor,
  isSuccess,
  limitConnectTime,
  limitFraming,
  parseBoundedJson,
  readBody,
  readPieces,
} from '@ragwortrudder/core';
import type { ReceivedResponse } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import { RequestRefused } from '../errors/request-refused.ts';
import type { AnswerEvent } from '../types/answer-event.ts';
import { Problem } from '../types/problem.ts';

/** Bound of the description of a problem, in bytes. */
const MAX_PROBLEM_BYTES = 64 * 1024;
const EVENT_TYPES: ReadonlySet<string> = new Set(['accepted', 'token', 'result', 'done', 'failed']);

interface EventSourceOptions {
  readonly node: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly connectMs: number;
  readonly idleTimeoutMs: number;
  readonly signal?: AbortSignal;
}

/**
 * Reads a stream of server-sent events until it ends.
 * @throws {@link RequestRefused} for a problem body, {@link ConnectionLost} if the connection fails.
 */
export async function* readEventSource(options: EventSourceOptions): AsyncGenerator<AnswerEvent> {
  const events: AnswerEvent[] = [];
  let interruption: RequestRefused | undefined;
  const sizeLimit = new EventSizeLimit({
    failure: () => new ConnectionLost(options.node, 'an event of the answer is too long'),
  });
  const parser = createParser({
    onEvent: (event) => {
      sizeLimit.reset();
      if (event.event === 'interrupted') {
        interruption = new RequestRefused(Problem.parse(JSON.parse(event.data)));
      }
      if (!EVENT_TYPES.has(event.event ?? '')) return;
      const data = JSON.parse(event.data) as AnswerEvent['data'];
      events.push({
        id: event.id ?? '',
        type: event.event as AnswerEvent['type'],
        data,
        node: options.node,
      });
    },
  });
  let readBytes = 0;
  try {
    const received = await open(options, () => readBytes);
    const decoder = new TextDecoder();
    for await (const piece of readPieces(received)) {
      readBytes += piece.length;
      const text = decoder.decode(piece, { stream: true });
      sizeLimit.add(text);
      parser.feed(text);
      yield* events.splice(0);
      throwIfSet(interruption);
    }
  } catch (error) {
    throw error instanceof RequestRefused ? error : new ConnectionLost(options.node, error);
  }
}

function throwIfSet(failure: Error | undefined): void {
  if (failure) throw failure;
}

/** Sends the request and returns the successful response to it. */
async function open(
  options: EventSourceOptions,
  readBytes: () => number,
): Promise<ReceivedResponse> {
  const { node, path, method, headers, body, connectMs, idleTimeoutMs, signal } = options;
  const length = body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) };
  const call = request(new URL(`http://${node}${path}`), {
    method,
    agent: false,
    headers: {
      ...{ accept: 'text/event-stream', 'content-type': 'application/json' },
      ...headers,
      ...length,
    },
    ...(signal ? { signal } : {}),
  });
  const connection = new ConnectionMonitor(call);
  const interim = new InterimMonitor(call);
  limitFraming(call, readBytes);
  limitConnectTime(call, connectMs);
  call.setTimeout(idleTimeoutMs, () => {
    call.destroy(new ConnectionLost(node, `nothing was received for ${idleTimeoutMs} ms`));
  });
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    call.once('response', resolve);
    // Once the response has begun, its reader gets the errors.
    call.on('error', reject);
    call.once('close', () => {
      reject(new ConnectionLost(node));
    });
    call.end(body);
  });
  const received = { request: call, response, connection, interim };
  if (isSuccess(response.statusCode ?? 0)) return received;
  throw await refusalOf(received, node);
}

async function refusalOf(received: ReceivedResponse, node: string): Promise<Error> {
  const buffer = new ByteBuffer();
  await readBody(received, buffer, MAX_PROBLEM_BYTES);
  const problem = Problem.safeParse(parseBoundedJson(buffer.take()));
  const status = `status ${received.response.statusCode ?? 0}`;
  return problem.success ? new RequestRefused(problem.data) : new ConnectionLost(node, status);
}
