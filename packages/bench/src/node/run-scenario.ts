import { CallerClient } from '@ragwortrudder/client';
import type { AnswerEvent } from '@ragwortrudder/client';
import { Failure, SeededRandom } from '@ragwortrudder/core';
import type { ScenarioAnswer } from '../types/scenario-answer.ts';
import type { Scenario } from '../types/scenario.ts';

interface ScenarioOptions {
  readonly scenario: Scenario;
  /** Addresses of the nodes, `host:port`. */
  readonly nodes: readonly string[];
  readonly seed: number;
}

/** Sends the requests of a scenario sequentially and returns the outcome of each. */
export async function runScenario({
  scenario,
  nodes,
  seed,
}: ScenarioOptions): Promise<readonly ScenarioAnswer[]> {
  const random = new SeededRandom(seed);
  const answers: ScenarioAnswer[] = [];
  for (const request of scenario.requests) {
    const key = scenario.tenants.find(({ tenant }) => tenant === request.tenant)?.key ?? '';
    const client = new CallerClient({ nodes, key, random });
    answers.push(await sendRequest(client, request));
  }
  return answers;
}

async function sendRequest(
  client: CallerClient,
  request: Scenario['requests'][number],
): Promise<ScenarioAnswer> {
  const startedAt = performance.now();
  const { tenant, service, body } = request;
  const subject = { tenant, service };
  try {
    const idempotencyKey = request.issuedKey ? await client.issueKey() : request.idempotencyKey;
    const events: AnswerEvent[] = [];
    for await (const event of client.submit({
      service,
      body,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    })) {
      events.push(event);
    }
    return { ...subject, ...summarize(events), elapsedMs: performance.now() - startedAt };
  } catch (error) {
    const detail = error instanceof Failure ? `${error.code}: ${error.message}` : String(error);
    const elapsedMs = performance.now() - startedAt;
    return { ...subject, outcome: 'failed', node: '', runners: [], tokens: 0, elapsedMs, detail };
  }
}

type Summary = Pick<ScenarioAnswer, 'outcome' | 'node' | 'runners' | 'tokens' | 'detail'>;

function summarize(events: readonly AnswerEvent[]): Summary {
  const last = events.at(-1);
  const texts = events.filter(({ type }) => type === 'token').map(({ data }) => String(data.text));
  const result = events.find(({ type }) => type === 'result')?.data.result as
    { readonly runner?: string } | undefined;
  const runners = new Set([
    ...texts.map((text) => text.split('.').slice(2).join('.')),
    ...(result?.runner ? [result.runner] : []),
  ]);
  return {
    outcome: last?.type === 'done' ? 'done' : 'failed',
    node: last?.node ?? '',
    runners: [...runners],
    tokens: texts.length,
    detail: last?.type === 'failed' ? JSON.stringify(last.data) : '',
  };
}
