import type { Agent } from 'node:http';

/** Closes the connections of an agent that have no request in progress. */
export function closeIdleSockets({ freeSockets }: Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
