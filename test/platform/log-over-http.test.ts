import test from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import { GroupCommit, LogExpired, LogFollower, MemoryLog } from '@ragwortrudder/log';
import type { LogAppend } from '@ragwortrudder/log';
import { HttpLog } from '@ragwortrudder/platform';
import { ticketFold, ticketStatus } from '@ragwortrudder/tickets';
import { TestServer } from './server.ts';
import type { Reply } from './server.ts';

const WRITERS = 3;
const TICKETS_PER_WRITER = 8;

async function append(log: MemoryLog, record: LogAppend): Promise<Reply> {
  return { status: 201, body: { offset: await log.append(record) } };
}

async function read(log: MemoryLog, url: string): Promise<Reply> {
  const query = new URL(url, 'http://localhost').searchParams;
  const number = (name: string): number => Number(query.get(name));
  const range = { from: number('from'), limit: number('limit'), waitMs: number('waitMs') };
  try {
    return { status: 200, body: await log.read(range) };
  } catch (error) {
    if (error instanceof LogExpired) return { status: 410, body: error };
    return { status: 503 };
  }
}

test('writers over HTTP publish each ticket once and in the same order for all, even if replies are lost', async (t) => {
  const memory = new MemoryLog();
  const random = new SeededRandom(5);
  const server = await TestServer.start(async ({ method, url, body }) => {
    if (method === 'GET') return read(memory, url);
    const randomValue = random.next();
    if (randomValue < 0.2) return { status: 503 };
    const reply = await append(memory, body as LogAppend);
    return randomValue < 0.5 ? 'drop' : reply;
  });
  const clients = Array.from({ length: WRITERS }, (_, index) => {
    const log = new HttpLog({ baseUrl: server.url, stream: 'tickets' });
    const clientRandom = new SeededRandom(index);
    const backoff = { firstMs: 2, maxMs: 20 };
    const options = {
      log,
      fold: ticketFold,
      clock: new SystemClock(),
      random: clientRandom,
      backoff,
    };
    const follower = new LogFollower({ ...options, pollWaitMs: 500 });
    follower.start();
    const commit = new GroupCommit({
      log,
      follower,
      random: clientRandom,
      backoff,
      timeoutMs: 60_000,
    });
    return { log, follower, commit };
  });
  const plan = clients.flatMap(({ commit }, writer) =>
    Array.from({ length: TICKETS_PER_WRITER }, (_, index) => ({
      commit,
      number: 1 + writer + index * WRITERS,
    })),
  );
  const numbers = plan.map(({ number }) => number);
  const writes = plan.map(({ commit, number }) => {
    const services = { [`s${number}`]: null };
    const ticket = { number, against: 0, author: 'ops', services };
    return commit.write({ kind: 'ticket', ticket });
  });
  const positions = await Promise.all(writes);
  t.is(new Set(positions).size, numbers.length);
  const last = memory.next - 1;
  await Promise.all(clients.map(({ follower }) => follower.waitForOffset(last, 60_000)));
  t.is(new Set(clients.map(({ follower }) => follower.hash)).size, 1);
  for (const { follower } of clients) {
    for (const number of numbers) {
      t.is(ticketStatus(follower.state, number, {}).status, 'accepted');
    }
    t.is(follower.state.refusedEntries.length, 0);
  }
  for (const { log, follower, commit } of clients) {
    await commit.close();
    await follower.close();
    await log.close();
  }
  await memory.close();
  await server.close();
});
