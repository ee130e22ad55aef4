import { Agent } from 'node:http';
import got, { RequestError } from 'got';
import type { Response } from 'got';
import { inject, injectable } from 'inversify';
import * as z from 'zod';
import { abortLargeDownload, responseFraming } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import type { OperationOutcome } from '../../types/operation-outcome.ts';
import { tokens } from '../../types/tokens.ts';

const MAX_SOCKETS_PER_RUNNER = 256;
const HTTP_REDIRECT = 300;
const HTTP_SERVER_ERROR = 500;
/** Error codes of connections that were never established, so that nothing was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

const CompletedBody = z.object({ result: z.unknown() });
const NotRunBody = z.object({ notRun: z.literal(true) });

interface OperationCall {
  readonly endpoint: string;
  /** Identifies the request to the runner; a retry of an idempotent request has the same key. */
  readonly key: string;
  readonly operation: string;
  readonly payload: unknown;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Calls operations of application runners. */
@injectable()
export class ApplicationClient implements Closeable {
  // Answers do not name their request: on a reused connection a late or repeated one would be taken for
  // the answer to the next request, and a reused connection can break after data was sent.
  readonly #agent = new Agent({ keepAlive: false, maxSockets: MAX_SOCKETS_PER_RUNNER });
  readonly #connectTimeoutMs: number;

  constructor(@inject(tokens.settings) settings: Settings) {
    this.#connectTimeoutMs = settings.requests.runnerConnectMs;
  }

  /** Calls the operation once and classifies what the response, or its absence, proves. */
  async call(call: OperationCall): Promise<OperationOutcome> {
    const { key, payload } = call;
    try {
      const posted = got.post(`http://${call.endpoint}/operations`, {
        body: JSON.stringify({ key, operation: call.operation, payload }),
        headers: { 'content-type': 'application/json' },
        agent: { http: this.#agent },
        timeout: { connect: this.#connectTimeoutMs, request: call.timeoutMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        signal: call.signal,
      });
      return classifyResponse(await abortLargeDownload(posted));
    } catch (error) {
      return classifyError(error);
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

function classifyResponse(response: Response<string>): OperationOutcome {
  const body = parseBody(response.body);
  const completed = CompletedBody.safeParse(body);
  if (response.statusCode < HTTP_REDIRECT && completed.success) {
    return { kind: 'completed', result: completed.data.result };
  }
  if (isCut(response, body)) {
    return { kind: 'unknown', reason: 'the connection ended inside the response' };
  }
  const reason = `status ${response.statusCode}`;
  if (NotRunBody.safeParse(body).success) return { kind: 'not-run', reason };
  if (response.statusCode >= HTTP_REDIRECT && response.statusCode < HTTP_SERVER_ERROR) {
    return { kind: 'refused', status: response.statusCode, reason };
  }
  return { kind: 'failed', reason };
}

/** Whether the body, whose end only the connection marks, is a part of a JSON text. */
function isCut({ statusCode: status, headers }: Response<string>, body: unknown): boolean {
  return (
    body === undefined && responseFraming({ method: 'POST', status, headers }) === 'connection'
  );
}

function classifyError(error: unknown): OperationOutcome {
  const code = error instanceof RequestError ? error.code : 'unexpected';
  const isConnectTimeout = error instanceof RequestError && error.message.includes("'connect'");
  if (CONNECT_ERROR_CODES.has(code) || isConnectTimeout) return { kind: 'not-run', reason: code };
  return { kind: 'unknown', reason: code };
}
