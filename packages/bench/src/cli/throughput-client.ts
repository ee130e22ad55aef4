/**
 * Sends generation requests to one address in a closed or an open loop and prints the measurements
 * as JSON.
 */
import { once } from 'node:events';
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { percentile } from '../utils/percentile.ts';

interface Load {
  /** True to call the engine directly, false to call a node. */
  readonly direct: boolean;
  readonly address: string;
  readonly key: string;
  readonly maxTokens: number;
  readonly seconds: number;
  /** Concurrent requests in a closed loop; 0 for an open loop. */
  readonly concurrency: number;
  /** Requests per second in an open loop. */
  readonly rate: number;
}

interface Answer {
  readonly firstMs: number;
  readonly totalMs: number;
  readonly tokens: number;
  readonly endedAt: number;
}

const MS_PER_SECOND = 1000;
const TIMEOUT_MS = 30_000;
const DIRECT_TOKEN = '"type":"token"';
const NODE_TOKEN = 'event: token';
const PROMPT = 'compare the three offers for steel sheets and say which one is cheaper over a year';

const load = JSON.parse(process.argv[2] ?? '{}') as Load;
const agent = new Agent({ keepAlive: true });
let serial = 0;

function bodyOf(): string {
  const { direct, maxTokens } = load;
  serial += 1;
  const prompt = `${PROMPT} ${serial}`;
  if (!direct) return JSON.stringify({ class: 'interactive', prompt, maxTokens });
  const requestId = `direct-${process.pid}-${serial}`;
  return JSON.stringify({ requestId, prompt, generated: [], maxTokens, priority: 0 });
}

async function openResponse(): Promise<IncomingMessage> {
  const [host, port] = load.address.split(':');
  const clientRequest = request({
    ...{ host, port, agent, method: 'POST', timeout: TIMEOUT_MS },
    path: load.direct ? '/generate' : '/v1/services/quotes/requests',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${load.key}` },
  });
  clientRequest.end(bodyOf());
  const [response] = (await once(clientRequest, 'response')) as [IncomingMessage];
  return response;
}

/**
 * Sends one request planned for `plannedAt`; resolves with undefined when its answer is incomplete.
 */
async function sendRequest(plannedAt: number): Promise<Answer | undefined> {
  try {
    const response = await openResponse();
    const tokenMarker = load.direct ? DIRECT_TOKEN : NODE_TOKEN;
    let carry = '';
    let tokens = 0;
    let firstMs = Number.NaN;
    response.setEncoding('utf8');
    for await (const chunk of response) {
      const parts = (carry + String(chunk)).split(tokenMarker);
      carry = (parts.at(-1) ?? '').slice(1 - tokenMarker.length);
      tokens += parts.length - 1;
      if (tokens > 0 && Number.isNaN(firstMs)) firstMs = performance.now() - plannedAt;
    }
    const endedAt = performance.now();
    if (tokens !== load.maxTokens) return undefined;
    return { firstMs, totalMs: endedAt - plannedAt, tokens, endedAt };
  } catch {
    return undefined;
  }
}

async function closedLoop(endsAt: number): Promise<readonly (Answer | undefined)[]> {
  const answers: (Answer | undefined)[] = [];
  const caller = async (): Promise<void> => {
    while (performance.now() < endsAt) answers.push(await sendRequest(performance.now()));
  };
  await Promise.all(Array.from({ length: load.concurrency }, caller));
  return answers;
}

async function openLoop(startedAt: number): Promise<readonly (Answer | undefined)[]> {
  const answers: Promise<Answer | undefined>[] = [];
  for (let index = 0; index < load.rate * load.seconds; index += 1) {
    const plannedAt = startedAt + (index * MS_PER_SECOND) / load.rate;
    const waitMs = plannedAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    answers.push(sendRequest(plannedAt));
  }
  return Promise.all(answers);
}

const startedAt = performance.now();
const endsAt = startedAt + load.seconds * MS_PER_SECOND;
const answers = load.concurrency > 0 ? await closedLoop(endsAt) : await openLoop(startedAt);
const complete = answers.filter((answer) => answer !== undefined);
const elapsedSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
const firstTokenTimes = complete.map(({ firstMs }) => firstMs);
const totalTimes = complete.map(({ totalMs }) => totalMs);
agent.destroy();
const result = {
  'requests/s': complete.length / elapsedSeconds,
  'tokens/s': complete.reduce((sum, { tokens }) => sum + tokens, 0) / elapsedSeconds,
  'first token p50 ms': percentile(firstTokenTimes, 0.5),
  'first token p99 ms': percentile(firstTokenTimes, 0.99),
  'total p50 ms': percentile(totalTimes, 0.5),
  'total p99 ms': percentile(totalTimes, 0.99),
  'not whole': answers.length - complete.length,
};
process.stdout.write(`${JSON.stringify(result)}\n`);
