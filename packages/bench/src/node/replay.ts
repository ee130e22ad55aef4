import { setTimeout as sleep } from 'node:timers/promises';
import { CallerClient } from '@ragwortrudder/client';
import { Failure, SeededRandom } from '@ragwortrudder/core';
import type { AnswerTiming } from '../types/answer-timing.ts';
import type { PlannedRequest } from '../types/planned-request.ts';

interface ReplayOptions {
  readonly planned: readonly PlannedRequest[];
  /** Addresses of the nodes, `host:port`. */
  readonly nodes: readonly string[];
  /** API keys by tenant name. */
  readonly keys: ReadonlyMap<string, string>;
  readonly seed: number;
  /**
   * How long a caller retries after a refusal, in milliseconds.
   * @default 0
   */
  readonly patienceMs?: number;
}

/** Sends each request at its planned time, independently of earlier ones, and times the answers. */
export async function replay(options: ReplayOptions): Promise<readonly AnswerTiming[]> {
  const random = new SeededRandom(options.seed);
  const startedAt = performance.now();
  const answers: Promise<AnswerTiming>[] = [];
  for (const request of options.planned) {
    const waitMs = startedAt + request.atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const { nodes, keys } = options;
    const client = new CallerClient({ nodes, key: keys.get(request.tenant) ?? '', random });
    const plannedAt = startedAt + request.atMs;
    answers.push(timeAnswer({ client, request, plannedAt, patienceMs: options.patienceMs ?? 0 }));
  }
  return Promise.all(answers);
}

interface TimedCall {
  readonly client: CallerClient;
  readonly request: PlannedRequest;
  readonly plannedAt: number;
  readonly patienceMs: number;
}

async function timeAnswer(call: TimedCall): Promise<AnswerTiming> {
  const { client, request, plannedAt, patienceMs } = call;
  const { service, body, idempotencyKey } = request;
  const eventTimes: number[] = [];
  let failedCode: string | undefined;
  let runner: string | undefined;
  const timing = (
    outcome: AnswerTiming['outcome'],
    code = '',
    hasRetryAfter = false,
  ): AnswerTiming => ({
    ...{ request, outcome, code, hasRetryAfter },
    firstMs: (eventTimes[0] ?? Number.NaN) - plannedAt,
    gapsMs: eventTimes.slice(1).map((time, index) => time - (eventTimes[index] ?? time)),
    elapsedMs: performance.now() - plannedAt,
    tokens: eventTimes.length,
    ...(runner === undefined ? {} : { runner }),
  });
  try {
    const key = idempotencyKey === undefined ? {} : { idempotencyKey };
    for await (const event of client.submit({ service, body, patienceMs, ...key })) {
      if (event.type === 'token' || event.type === 'result') eventTimes.push(performance.now());
      if (event.type === 'result') runner = runnerOf(event.data.result);
      if (event.type === 'failed') failedCode = problemCode(event.data.code);
    }
    return failedCode === undefined ? timing('done') : timing('failed', failedCode);
  } catch (error) {
    if (!(error instanceof Failure)) return timing('failed', String(error));
    const outcome = error.notRun ? 'refused' : 'failed';
    return timing(outcome, error.code, error.retryAfterMs !== undefined);
  }
}

function problemCode(code: unknown): string {
  return typeof code === 'string' ? code : 'failed';
}

function runnerOf(result: unknown): string | undefined {
  const { runner } = result as { readonly runner?: string };
  return runner;
}
