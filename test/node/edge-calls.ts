import type { Settings } from '@ragwortrudder/settings';
import { JsonClient } from '../../packages/node/src/node/http/json-client.ts';
import { ApplicationClient } from '../../packages/node/src/node/runners/application-client.ts';
import { ModelClient } from '../../packages/node/src/node/runners/model-client.ts';
import { RunnerClient } from '../../packages/node/src/node/runners/runner-client.ts';
import { EngineClient } from '../../packages/node/src/node/supply/engine-client.ts';
import { measureCalls } from '../core/measure-calls.ts';

const CALLS = 16;
const TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 2 * 1024 * 1024;
const [, , port = '', target = ''] = process.argv;
const settings = { requests: { runnerConnectMs: TIMEOUT_MS } } as unknown as Settings;
const address = `127.0.0.1:${port}`;
const json = new JsonClient({ maxSockets: CALLS + 1, maxResponseBytes: MAX_RESPONSE_BYTES });
const runner = new RunnerClient(settings);
const application = new ApplicationClient(settings);
const engine = new EngineClient();
const model = new ModelClient(settings);

async function readModel(): Promise<void> {
  const generation = { requestId: 'r', prompt: '', generated: [], maxTokens: 1, priority: 0 };
  const events = model.generate(address, generation, AbortSignal.timeout(TIMEOUT_MS));
  for await (const event of events) if (event.type === 'done') return;
}

async function callApplication(): Promise<void> {
  const outcome = await application.call({
    ...{ endpoint: address, key: 'k', operation: 'o', payload: {}, timeoutMs: TIMEOUT_MS },
    signal: new AbortController().signal,
  });
  if (outcome.kind !== 'unknown') return;
  throw new TypeError(outcome.reason);
}

const callByTarget: Readonly<Record<string, () => Promise<unknown>>> = {
  'a peer': () => json.call({ address, path: '/x', timeoutMs: TIMEOUT_MS }),
  'a runner': () => runner.load(address),
  'a probed runner': () => runner.probe(address),
  'a runner with a cache': () => runner.moveKv({ from: address, to: address, requestId: 'r' }),
  'an application': callApplication,
  'an engine': () => engine.state(address),
  'a model': readModel,
};

await measureCalls({
  count: CALLS,
  call: callByTarget[target] ?? (() => Promise.resolve()),
  soundCall: () => json.call({ address, path: '/sound', timeoutMs: TIMEOUT_MS }),
});
