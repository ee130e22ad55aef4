import { once } from 'node:events';
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { urlToHttpOptions } from 'node:url';
import { createParser } from 'eventsource-parser';
import { inject, injectable } from 'inversify';
import {
  ConnectionMonitor,
  EventSizeLimit,
  InterimMonitor,
  isSuccess,
  limitFraming,
  readPieces,
  responseFraming,
} from '@ragwortrudder/core';
import type { Closeable, ReceivedResponse } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { CallFailed } from '../../errors/call-failed.ts';
import { EngineEvent } from '../../types/engine-event.ts';
import type { GenerationRequest } from '../../types/generation-request.ts';
import { tokens } from '../../types/tokens.ts';

const MAX_SOCKETS_PER_ENGINE = 1024;

/** Streams generations from model engines. */
@injectable()
export class ModelClient implements Closeable {
  // Streams do not name their request: on a reused connection a late or repeated one would be taken for
  // that of the next request.
  readonly #agent = new Agent({ keepAlive: false, maxSockets: MAX_SOCKETS_PER_ENGINE });
  readonly #connectTimeoutMs: number;

  constructor(@inject(tokens.settings) settings: Settings) {
    this.#connectTimeoutMs = settings.requests.runnerConnectMs;
  }

  /** Yields the engine's events; throws if the connection fails or `signal` aborts. */
  async *generate(
    endpoint: string,
    generation: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent> {
    let readBytes = 0;
    const received = await this.#open(endpoint, generation, signal, () => readBytes);
    const decoder = new TextDecoder();
    const events: EngineEvent[] = [];
    const sizeLimit = new EventSizeLimit({
      failure: () => new CallFailed(endpoint, 'an event of the stream is too long'),
    });
    const parser = createParser({
      onEvent: (event) => {
        sizeLimit.reset();
        events.push(EngineEvent.parse(JSON.parse(event.data)));
      },
    });
    for await (const piece of readPieces(received)) {
      readBytes += piece.length;
      const text = decoder.decode(piece, { stream: true });
      sizeLimit.add(text);
      parser.feed(text);
      yield* events.splice(0);
    }
    const { statusCode: status = 0, headers } = received.response;
    if (responseFraming({ method: 'POST', status, headers }) === 'connection') {
      throw new CallFailed(endpoint, 'the connection ended before the stream was complete');
    }
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  async #open(
    address: string,
    generation: GenerationRequest,
    signal: AbortSignal,
    readBytes: () => number,
  ): Promise<ReceivedResponse> {
    const body = JSON.stringify(generation);
    const clientRequest = request({
      agent: this.#agent,
      ...urlToHttpOptions(new URL(`http://${address}/generate`)),
      ...{ method: 'POST', signal },
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        accept: 'text/event-stream',
      },
    });
    const connection = new ConnectionMonitor(clientRequest);
    const interim = new InterimMonitor(clientRequest);
    limitFraming(clientRequest, readBytes);
    setConnectTimeout(clientRequest, this.#connectTimeoutMs);
    // Once the response has begun, its reader gets the errors.
    clientRequest.on('error', () => undefined);
    const responded = once(clientRequest, 'response');
    clientRequest.end(body);
    const [response] = (await responded) as [IncomingMessage];
    const status = response.statusCode ?? 0;
    if (isSuccess(status)) return { request: clientRequest, response, connection, interim };
    response.destroy();
    throw new CallFailed(address, `status code ${status}`);
  }
}

/** Destroys `clientRequest` if its connection is not established in time. */
function setConnectTimeout(clientRequest: ClientRequest, connectTimeoutMs: number): void {
  clientRequest.once('socket', (socket) => {
    if (!socket.connecting) return;
    const timer = setTimeout(() => {
      clientRequest.destroy(
        new CallFailed(
          clientRequest.host,
          `no connection established within ${connectTimeoutMs} ms`,
        ),
      );
    }, connectTimeoutMs);
    const cancel = (): void => {
      clearTimeout(timer);
    };
    socket.once('connect', cancel);
    socket.once('close', cancel);
  });
}
