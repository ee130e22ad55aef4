import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CallFailure, callHttp } from '@ragwortrudder/core';
import type { HttpReply } from '@ragwortrudder/core';
import { INVALID_STATUSES } from './invalid-statuses.ts';
import { serveRaw } from './serve-raw.ts';

const LIMITS = { timeoutMs: 5_000, maxBodyBytes: 100_000 };
const UPLOAD = Buffer.alloc(8 * 1024 * 1024, 'u');
const RESET_DELAYS_MS = [0, 5, 50];
const TRIALS = 5;
const PART = '{"result": 1}';

async function serve(t: ExecutionContext, answer: (socket: Socket) => void): Promise<string> {
  return `http://${await serveRaw(t, answer)}/x`;
}

async function outcomeOf(url: string, body?: Buffer): Promise<HttpReply | CallFailure> {
  const upload = body === undefined ? {} : { method: 'POST', body };
  return callHttp({ ...LIMITS, url, ...upload }).catch((error: unknown) => {
    if (error instanceof CallFailure) return error;
    throw error;
  });
}

// Guards against taking a part of a body for the whole one when the connection is reset during an upload.
test('a response without length that is reset during a long upload fails the call', async (t) => {
  const complete: string[] = [];
  for (const delayMs of RESET_DELAYS_MS) {
    const url = await serve(t, (socket) => {
      socket.pause();
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${PART}`, () => {
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
    });
    for (let trial = 0; trial < TRIALS; trial += 1) {
      const outcome = await outcomeOf(url, UPLOAD);
      if (!(outcome instanceof CallFailure)) complete.push(`reset after ${delayMs} ms`);
      else t.false(outcome.notRun);
    }
  }
  t.deepEqual(complete, []);
});

// Guards against the same for a call without a body, whose reset arrives together with the data.
test('a response without length that is reset behind its last byte fails the call', async (t) => {
  const complete: string[] = [];
  for (const delayMs of RESET_DELAYS_MS) {
    const url = await serve(t, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${PART}`, () => {
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
    });
    for (let trial = 0; trial < TRIALS; trial += 1) {
      const outcome = await outcomeOf(url);
      if (!(outcome instanceof CallFailure)) complete.push(`reset after ${delayMs} ms`);
    }
  }
  t.deepEqual(complete, []);
});

// Guards against a check that also rejects whole responses.
test('a response that ends with an orderly close, or is reset behind its length, is complete', async (t) => {
  const closed = await serve(t, (socket) => {
    socket.end(`HTTP/1.1 200 OK\r\n\r\n${PART}`);
  });
  const framed = await serve(t, (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${PART.length}\r\n\r\n${PART}`, () => {
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  for (const url of [closed, framed]) {
    for (let trial = 0; trial < TRIALS; trial += 1) {
      const outcome = await outcomeOf(url);
      if (outcome instanceof CallFailure) t.fail(outcome.message);
      else t.is(outcome.body.toString(), PART);
    }
  }
});
// Guards against taking a status that HTTP does not define for a success, or for a refusal.
test('a response with an invalid status fails the call', async (t) => {
  const answered: number[] = [];
  for (const status of INVALID_STATUSES) {
    const url = await serve(t, (socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: ${PART.length}\r\n\r\n${PART}`);
    });
    const outcome = await outcomeOf(url);
    if (outcome instanceof CallFailure) t.false(outcome.notRun);
    else answered.push(outcome.status);
  }
  t.deepEqual(answered, []);
});

test('a response with a valid status is returned, whatever the status', async (t) => {
  for (const status of [200, 299, 300, 404, 599]) {
    const url = await serve(t, (socket) => {
      socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: ${PART.length}\r\n\r\n${PART}`);
    });
    const outcome = await outcomeOf(url);
    t.false(outcome instanceof CallFailure);
    t.is(outcome.status, status);
  }
});
