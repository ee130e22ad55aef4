import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { chunk, event, headFor, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const HTTP_OK = 200;
const BODY = 'whole body';
const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n';
const STREAM = event(1) + event(2);

interface Response {
  readonly head: (request: ReceivedRequest) => string;
  readonly whole: (request: ReceivedRequest) => string;
  readonly body: string;
  readonly route: object;
}

const RESPONSES: Readonly<Record<string, Response>> = {
  'a length': {
    head: (request) => headFor(request, { framing: [`Content-Length: ${BODY.length}`] }),
    whole: (request) => responseTo(request, BODY),
    body: BODY,
    route: ROUTE_KINDS.idempotent,
  },
  'its connection': {
    head: (request) => headFor(request),
    whole: (request) => responseTo(request, BODY),
    body: BODY,
    route: ROUTE_KINDS.idempotent,
  },
  'a length, once-only': {
    head: (request) => headFor(request, { framing: [`Content-Length: ${BODY.length}`] }),
    whole: (request) => responseTo(request, BODY),
    body: BODY,
    route: ROUTE_KINDS['once-only'],
  },
  'chunks of a stream': {
    head: streamHeadFor,
    whole: (request) => streamHeadFor(request) + chunk(STREAM) + chunk(''),
    body: STREAM,
    route: ROUTE_KINDS.stream,
  },
  'its connection, of a stream': {
    head: (request) => streamHeadFor(request, ['Connection: close']),
    whole: (request) => streamHeadFor(request) + chunk(STREAM) + chunk(''),
    body: STREAM,
    route: ROUTE_KINDS.stream,
  },
};

/** Requests that are sent at a time. */
const CONCURRENCY = 8;

for (const [framing, { head, whole, body, route }] of Object.entries(RESPONSES)) {
  for (const prefix of ['', INTERIM]) {
    const name = prefix === '' ? '' : ', after an interim response';
    // Guards against a 200 with an empty or short body, framed as whole (MIXED, ORDER).
    test(`a head that ends at any byte is never a success; a body framed by ${framing}${name}`, async (t) => {
      const seen = new Set<string>();
      const runners = await Promise.all(
        [0, 1].map(() =>
          new ScriptedRunner((socket, request) => {
            const cut = Number(/^cut-(\d+)-/.exec(request.id)?.[1] ?? -1);
            if (cut < 0 || seen.has(request.id)) {
              socket.write(whole(request));
              return;
            }
            seen.add(request.id);
            socket.end((prefix + head(request)).slice(0, cut));
          }).listen(),
        ),
      );
      const harness = await GatewayHarness.start(t, { runners, route });
      const idOf = (cut: number): string => `cut-${cut}-${'x'.repeat(4 - String(cut).length)}`;
      const length = (prefix + head({ id: idOf(10) } as ReceivedRequest)).length;
      const cuts = Array.from({ length }, (_item, index) => index);
      const send = async (): Promise<void> => {
        for (let cut = cuts.shift(); cut !== undefined; cut = cuts.shift()) {
          const reply = await harness.call({ headers: { 'Request-Id': idOf(cut) } });
          if (reply.status !== HTTP_OK) continue;
          t.is(reply.body, body, `cut at ${cut}`);
          t.true(reply.isComplete, `cut at ${cut}`);
        }
      };
      await Promise.all(Array.from({ length: CONCURRENCY }, send));
      t.is(seen.size, length);
    });
  }
}
