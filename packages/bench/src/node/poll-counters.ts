import type { Fleet } from '@ragwortrudder/standins';
import got from 'got';

const TIMEOUT_MS = 2000;
const PERIOD_MS = 250;

/**
 * Polls the counters of all entry nodes and keeps the last values of nodes that have stopped. The
 * returned function stops the polling, reads the counters once more and returns their sums.
 */
export function pollCounters(fleet: Fleet): () => Promise<ReadonlyMap<string, number>> {
  const latest = new Map<string, ReadonlyMap<string, number>>();
  const read = async (): Promise<void> => {
    await Promise.all(
      fleet.entries.map(async ({ name, address }) => {
        const text = await got(`http://${address}/metrics`, {
          timeout: { request: TIMEOUT_MS },
          retry: { limit: 0 },
          headers: { authorization: `Bearer ${fleet.operator.key}` },
        })
          .text()
          .catch(() => undefined);
        if (text !== undefined) latest.set(name, parseCounters(text));
      }),
    );
  };
  const timer = setInterval(() => void read(), PERIOD_MS);
  return async () => {
    clearInterval(timer);
    await read();
    const sums = new Map<string, number>();
    for (const counters of latest.values())
      for (const [name, value] of counters) sums.set(name, (sums.get(name) ?? 0) + value);
    return sums;
  };
}

function parseCounters(text: string): ReadonlyMap<string, number> {
  const lines = text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
  return new Map(
    lines.map((line) => {
      const separatorAt = line.lastIndexOf(' ');
      return [line.slice(0, separatorAt), Number(line.slice(separatorAt + 1))] as const;
    }),
  );
}
