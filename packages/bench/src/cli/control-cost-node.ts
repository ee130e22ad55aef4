/**
 * Runs a node that writes a snapshot of its CPU, memory and traffic to a file on each SIGUSR2.
 * Without the command `serve`, the process stays idle.
 */
import { subscribe } from 'node:diagnostics_channel';
import { renameSync, writeFileSync } from 'node:fs';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { join } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { run } from '@ragwortrudder/cli';

interface ConnectionCounts {
  readonly sent: number;
  readonly received: number;
  readonly connections: number;
  readonly requests: number;
}

const FOLDER = process.env.BENCH_COST_FOLDER ?? '.';
const KEEP_ALIVE_MS = 1_000_000_000;
const counts = new Map<string, ConnectionCounts>();
const sockets = new Map<Socket, string>();

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function addCounts(
  all: Map<string, ConnectionCounts>,
  name: string,
  increments: Partial<ConnectionCounts>,
): void {
  const current = all.get(name) ?? { sent: 0, received: 0, connections: 0, requests: 0 };
  all.set(name, {
    sent: current.sent + (increments.sent ?? 0),
    received: current.received + (increments.received ?? 0),
    connections: current.connections + (increments.connections ?? 0),
    requests: current.requests + (increments.requests ?? 0),
  });
}

function addBytes(all: Map<string, ConnectionCounts>, name: string, socket: Socket): void {
  addCounts(all, name, { sent: socket.bytesWritten, received: socket.bytesRead });
}

function trackSocket(socket: Socket, name: string): void {
  addCounts(counts, name, { connections: 1 });
  sockets.set(socket, name);
  socket.once('close', () => {
    sockets.delete(socket);
    addBytes(counts, name, socket);
  });
}

function socketCounts(): Readonly<Record<string, ConnectionCounts>> {
  const all = new Map(counts);
  for (const [socket, name] of sockets) addBytes(all, name, socket);
  return Object.fromEntries(all);
}

let taken = 0;

function writeSnapshot(): void {
  const before = process.cpuUsage();
  collectGarbage();
  const { heapUsed, external, rss } = process.memoryUsage();
  const after = process.cpuUsage();
  taken += 1;
  const snapshot = {
    taken,
    at: performance.now(),
    cpuBefore: (before.user + before.system) / 1000,
    cpuAfter: (after.user + after.system) / 1000,
    heap: heapUsed + external,
    rss,
    counts: socketCounts(),
  };
  const file = join(FOLDER, `${process.pid}.json`);
  writeFileSync(`${file}.new`, JSON.stringify(snapshot));
  renameSync(`${file}.new`, file);
}

subscribe('net.client.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  socket.once('connect', () => {
    trackSocket(socket, `to:${socket.remotePort ?? 0}`);
  });
});
subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  trackSocket(socket, `at:${socket.localPort ?? 0}`);
});
subscribe('http.client.request.start', (message) => {
  const { request } = message as { readonly request: ClientRequest };
  const port = String(request.getHeader('host')).split(':').at(-1) ?? '';
  addCounts(counts, `to:${port}`, { requests: 1 });
});
process.on('SIGUSR2', writeSnapshot);

if (process.argv[2] !== 'serve') setInterval(() => undefined, KEEP_ALIVE_MS);
process.exitCode = await run(process.argv.slice(2));
