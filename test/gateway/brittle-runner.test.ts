import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { freePort } from './free-port.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const SLOTS = 8;
const WORK_MS = 200;
const WINDOW_MS = 1_000;
const CONTACT_MS = 3_000;
const NODES = 3;
const RUNNERS = 3;
/** Rejections in a second that a runner bears. */
const MOST = 5;
const QUEUE = 8;
const BRITTLE_QUEUE = 3;
/** Share of what the runners can work off. */
const LOAD = 0.8;

interface Work {
  readonly socket: Socket;
  readonly request: ReceivedRequest;
}

/** Runner with slots and a queue that counts how often it would fall over for its rejections. */
class BrittleRunner {
  falls = 0;
  #brittleSince: number | undefined;
  #running = 0;
  #waiting: readonly Work[] = [];
  #rejectedAt: readonly number[] = [];
  readonly #runner = new ScriptedRunner((socket, request) => {
    this.#receive({ socket, request });
  });

  get port(): number {
    return this.#runner.port;
  }

  setBrittle(): void {
    this.#brittleSince = performance.now();
  }

  async listen(): Promise<this> {
    await this.#runner.listen();
    return this;
  }

  close(): Promise<void> {
    return this.#runner.close();
  }

  get #isFragile(): boolean {
    return performance.now() - (this.#brittleSince ?? Infinity) >= CONTACT_MS;
  }

  #receive(work: Work): void {
    const room = this.#isFragile ? BRITTLE_QUEUE : QUEUE;
    if (this.#running < SLOTS) this.#run(work);
    else if (this.#waiting.length < room) this.#waiting = [...this.#waiting, work];
    else this.#reject(work);
  }

  #run({ socket, request }: Work): void {
    this.#running += 1;
    setTimeout(() => {
      this.#running -= 1;
      socket.write(`${headFor(request, { framing: this.#headers(2) })}ok`);
      const [next, ...waiting] = this.#waiting;
      this.#waiting = waiting;
      if (next) this.#run(next);
    }, WORK_MS);
  }

  #reject({ socket, request }: Work): void {
    const framing = [...this.#headers(0), 'Not-Executed: 1'];
    socket.write(headFor(request, { status: '503 Service Unavailable', framing }));
    const now = performance.now();
    this.#rejectedAt = [...this.#rejectedAt.filter((at) => now - at < WINDOW_MS), now];
    if (!this.#isFragile || this.#rejectedAt.length <= MOST) return;
    this.falls += 1;
    this.#rejectedAt = [];
  }

  #headers(length: number): readonly string[] {
    const brittle = this.#brittleSince === undefined ? [] : [`Server-Brittle: ${MOST}`];
    return [`Content-Length: ${length}`, ...brittle];
  }
}

// Guards against runners that fall over in turn because nodes send to them until they reject (LIMIT).
test('pattern: brittle runners at 0.8 of their capacity behind three nodes; they do not fall over, and requests are served', async (t) => {
  const log = new MemoryKeyedLog();
  const runners = await Promise.all(
    Array.from({ length: RUNNERS }, () => new BrittleRunner().listen()),
  );
  t.teardown(() => Promise.all(runners.map((runner) => runner.close())));
  const ports = runners.map(({ port }) => port);
  await GatewayHarness.configure({ log }, ports);
  const gateways: GatewayHarness[] = [];
  for (let index = 0; index < NODES; index += 1) {
    const options = { log, node: `n${index}`, peerPort: await freePort() };
    gateways.push(await GatewayHarness.start(t, options));
  }
  await sleep(2_500);
  const statuses: Promise<number>[] = [];
  const timer = setInterval(
    () => {
      const gateway = gateways[Math.floor(Math.random() * NODES)];
      if (gateway) statuses.push(gateway.call().then(({ status }) => status));
    },
    WORK_MS / (RUNNERS * SLOTS * LOAD),
  );
  await sleep(1_000);
  for (const runner of runners) runner.setBrittle();
  await sleep(CONTACT_MS + 6_000);
  clearInterval(timer);
  const answers = await Promise.all(statuses);
  const falls = runners.reduce((sum, runner) => sum + runner.falls, 0);
  t.true(falls <= 2 + RUNNERS / 10, `${falls} falls`);
  const served = answers.filter((status) => status === 200).length;
  t.true(served >= 0.85 * answers.length, `${served} of ${answers.length} served`);
  t.true(
    gateways.some(({ lines }) => lines.some((line) => line.includes('runner-brittle-stated'))),
  );
});
