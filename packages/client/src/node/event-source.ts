import { createParser } from 'eventsource-parser';
import got from 'got';
import type { Request } from 'got';
import { EventSizeLimit } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import { RequestRefused } from '../errors/request-refused.ts';
import type { AnswerEvent } from '../types/answer-event.ts';
import { Problem } from '../types/problem.ts';

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
  const stream = openStream(options);
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
  try {
    stream.setEncoding('utf8');
    for await (const chunk of stream) {
      sizeLimit.add(String(chunk));
      parser.feed(String(chunk));
      yield* events.splice(0);
      throwIfSet(interruption);
    }
  } catch (error) {
    throw toFailure(error, options.node);
  }
}

function throwIfSet(failure: Error | undefined): void {
  if (failure) throw failure;
}

function openStream(options: EventSourceOptions): Request {
  const { node, path, method, headers, body, connectMs, idleTimeoutMs, signal } = options;
  return got.stream(`http://${node}${path}`, {
    method,
    headers: { accept: 'text/event-stream', 'content-type': 'application/json', ...headers },
    ...(body === undefined ? {} : { body }),
    timeout: { connect: connectMs, socket: idleTimeoutMs },
    retry: { limit: 0 },
    decompress: false,
    ...(signal ? { signal } : {}),
  });
}

function toFailure(error: unknown, node: string): Error {
  if (error instanceof RequestRefused) return error;
  const body = errorBody(error);
  const problem = body === undefined ? undefined : Problem.safeParse(body);
  return problem?.success ? new RequestRefused(problem.data) : new ConnectionLost(node, error);
}

/** Returns the parsed body of the HTTP response attached to `error`, if there is one. */
function errorBody(error: unknown): unknown {
  if (!(error instanceof Error) || !('response' in error)) return undefined;
  const { response } = error as {
    readonly response?: { readonly body?: unknown; readonly rawBody?: Buffer };
  };
  const text =
    typeof response?.body === 'string' ? response.body : response?.rawBody?.toString('utf8');
  try {
    return text === undefined ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}
