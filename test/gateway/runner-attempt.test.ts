import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';
import { Intake } from '../../packages/gateway/src/node/intake.ts';
import { RunnerAgent } from '../../packages/gateway/src/node/runner-agent.ts';
import { RunnerAttempt } from '../../packages/gateway/src/node/runner-attempt.ts';
import type { ResponseSink } from '../../packages/gateway/src/types/response-sink.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const PAUSE_MS = 100;

/** A caller that takes no more bytes for a while after the first ones. */
class SlowSink implements ResponseSink {
  readonly partialEventBytes = 0;
  readonly bufferedBytes = 0;
  readonly heldBytes = 0;
  readonly unfinishedBytes = 0;
  readonly hasEvents = true;
  readonly fault = undefined;
  hasBegun = false;
  hasEnded = false;
  text = '';

  begin(): void {
    this.hasBegun = true;
  }

  push(bytes: Buffer): Promise<void> | undefined {
    const isFirst = this.text === '';
    this.text += bytes.toString();
    return isFirst ? sleep(PAUSE_MS) : undefined;
  }

  end(): void {
    this.hasEnded = true;
  }
}

for (const framing of ['Keep-Alive: timeout=5', 'Connection: close']) {
  // Guards against a whole stream that is cut because its connection closes before its caller has read it.
  test(`a stream whose runner has closed the connection reaches a slow caller: ${framing}`, async (t) => {
    const runner = await new ScriptedRunner((socket, request) => {
      socket.write(streamHeadFor(request, ['Transfer-Encoding: chunked', framing]));
      socket.write(chunk(event(1)));
      setTimeout(() => socket.end(chunk(event(2)) + chunk('')), PAUSE_MS / 4);
    }).listen();
    const agent = new RunnerAgent({ maxSockets: 4 });
    t.teardown(() => {
      agent.destroy();
      return runner.close();
    });
    const sink = new SlowSink();
    const attempt = new RunnerAttempt({
      dialect: new PlatformDialect(),
      agent,
      intake: new Intake(),
      request: {
        id: 'a',
        method: 'GET',
        target: '/p/x',
        host: 'a.example',
        path: '/p/x',
        headers: ['Host', 'a.example', 'Request-Id', 'a'],
        body: undefined,
        apiKey: undefined,
        deadlineMs: undefined,
        lastEventId: undefined,
        promptParts: [],
        promptTokens: undefined,
        outputTokens: undefined,
      },
      metadata: {
        runner: { id: 'r0', address: { host: '127.0.0.1', port: runner.port } },
        remainingMs: 5_000,
        team: undefined,
        priority: undefined,
        lastEventId: undefined,
      },
      sink,
      onHead: () => undefined,
      onProgress: () => undefined,
    });
    t.like(await attempt.outcome, { kind: 'relayed' });
    t.true(sink.hasEnded);
    t.is(sink.text, event(1) + event(2));
  });
}
