import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import { LogFollower } from '@ragwortrudder/log';
import type { Fold, Log, LogFollowerOptions } from '@ragwortrudder/log';

/** Fold that collects the bodies of all entries; repeated entries are listed once. */
export const listFold: Fold<readonly string[]> = {
  initial: [],
  apply: (state, { id, body }) => {
    const line = `${id}=${JSON.stringify(body)}`;
    return state.includes(line) ? state : [...state, line];
  },
  snapshotter: {
    serialize: (state) => state,
    restore: (data) => data as readonly string[],
  },
};

export function createFollower(
  log: Log,
  options: Partial<LogFollowerOptions<readonly string[]>> = {},
): LogFollower<readonly string[]> {
  return new LogFollower({
    log,
    fold: listFold,
    clock: new SystemClock(),
    random: new SeededRandom(1),
    pollWaitMs: 200,
    backoff: { firstMs: 2, maxMs: 10 },
    ...options,
  });
}

export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(2);
}

export async function appendAll(log: Log, ids: readonly string[]): Promise<void> {
  for (const id of ids) {
    await log.append({ id: `record-${id}`, body: { entries: [{ id, body: id }] } });
  }
}
