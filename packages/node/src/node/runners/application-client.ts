import { Agent } from 'node:http';
import { inject, injectable } from 'inversify';
import * as z from 'zod';
import { CallFailure, callHttp, isSuccess, responseFraming } from '@ragwortrudder/core';
import type { Closeable, HttpReply } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import type { OperationOutcome } from '../../types/operation-outcome.ts';
import { tokens } from '../../types/tokens.ts';

const MAX_SOCKETS_PER_RUNNER = 256;
/** Bound of an answer, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const HTTP_REDIRECT = 300;
const HTTP_SERVER_ERROR = 500;

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
      const reply = await callHttp({
        url: `http://${call.endpoint}/operations`,
        method: 'POST',
        body: JSON.stringify({ key, operation: call.operation, payload }),
        headers: { 'content-type': 'application/json' },
        agent: this.#agent,
        timeoutMs: call.timeoutMs,
        connectTimeoutMs: this.#connectTimeoutMs,
        maxBodyBytes: MAX_ANSWER_BYTES,
        signal: call.signal,
      });
      return classifyReply(reply);
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

function classifyReply(reply: HttpReply): OperationOutcome {
  const body = parseBody(reply.body.toString());
  const completed = CompletedBody.safeParse(body);
  if (isSuccess(reply.status) && completed.success) {
    return { kind: 'completed', result: completed.data.result };
  }
  if (isCut(reply, body)) {
    return { kind: 'unknown', reason: 'the connection ended inside the response' };
  }
  const reason = `status ${reply.status}`;
  if (NotRunBody.safeParse(body).success) return { kind: 'not-run', reason };
  if (reply.status >= HTTP_REDIRECT && reply.status < HTTP_SERVER_ERROR) {
    return { kind: 'refused', status: reply.status, reason };
  }
  return { kind: 'failed', reason };
}

/** Whether the body, whose end only the connection marks, is a part of a JSON text. */
function isCut({ status, headers }: HttpReply, body: unknown): boolean {
  return (
    body === undefined && responseFraming({ method: 'POST', status, headers }) === 'connection'
  );
}

function classifyError(error: unknown): OperationOutcome {
  if (!(error instanceof CallFailure)) return { kind: 'unknown', reason: 'unexpected' };
  return { kind: error.notRun ? 'not-run' : 'unknown', reason: error.reason };
}
