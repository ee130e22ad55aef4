import { Agent } from 'node:http';
import got, { RequestError } from 'got';
import type { Response } from 'got';
import { inject, injectable } from 'inversify';
import * as z from 'zod';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import type { OperationAnswer } from '../../types/operation-answer.ts';
import { tokens } from '../../types/tokens.ts';

const MAX_SOCKETS_PER_RUNNER = 256;
const HTTP_OK_LIMIT = 300;
const HTTP_SERVER_ERROR = 500;
/** Errors of a connection that was never established, so that nothing was written. */
const NOT_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

const Completed = z.object({ result: z.unknown() });
const NotRun = z.object({ notRun: z.literal(true) });

interface Operation {
  readonly endpoint: string;
  /** Tells the runner one request from another; a retry of an idempotent request carries the same one. */
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Calls operations of application runners. */
@injectable()
export class ApplicationClient implements Closeable {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_RUNNER });
  readonly #connectMs: number;

  constructor(@inject(tokens.settings) settings: Settings) {
    this.#connectMs = settings.requests.runnerConnectMs;
  }

  /** Calls the operation once and tells what the answer, or its absence, proves. */
  async call(operation: Operation): Promise<OperationAnswer> {
    const { key, payload } = operation;
    try {
      const answer = await got.post(`http://${operation.endpoint}/operations`, {
        body: JSON.stringify({ key, operation: operation.operation, payload }),
        headers: { 'content-type': 'application/json' },
        // A reused connection can break after the first byte was written, which proves nothing.
        ...(operation.idempotent ? { agent: { http: this.#agent } } : {}),
        timeout: { connect: this.#connectMs, request: operation.timeoutMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        signal: operation.signal,
      });
      return answerOf(answer);
    } catch (error) {
      return answerOfError(error);
    }
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }
}

function parseBody(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

function answerOf(answer: Response<string>): OperationAnswer {
  const body = parseBody(answer.body);
  const completed = Completed.safeParse(body);
  if (answer.statusCode < HTTP_OK_LIMIT && completed.success) {
    return { kind: 'completed', result: completed.data.result };
  }
  const reason = `status ${answer.statusCode}`;
  if (NotRun.safeParse(body).success) return { kind: 'not-run', reason };
  if (answer.statusCode >= HTTP_OK_LIMIT && answer.statusCode < HTTP_SERVER_ERROR) {
    return { kind: 'refused', status: answer.statusCode, reason };
  }
  return { kind: 'failed', reason };
}

function answerOfError(error: unknown): OperationAnswer {
  const code = error instanceof RequestError ? error.code : 'unexpected';
  const isConnectTimeout = error instanceof RequestError && error.message.includes("'connect'");
  if (NOT_CONNECTED.has(code) || isConnectTimeout) return { kind: 'not-run', reason: code };
  return { kind: 'unknown', reason: code };
}
