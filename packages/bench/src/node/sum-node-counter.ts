import type { Fleet } from '@ragwortrudder/standins';
import got from 'got';

const PREFIX = 'ragwortrudder_';
const TIMEOUT_MS = 5000;

/** Sums the counter `name` over all its labels and all entry nodes of a fleet. */
export async function sumNodeCounter(fleet: Fleet, name: string): Promise<number> {
  const texts = await Promise.all(fleet.entries.map(({ address }) => fetchMetrics(fleet, address)));
  const lines = texts.flatMap((text) => text.split('\n'));
  return lines
    .filter((line) => line.startsWith(`${PREFIX}${name}_total`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

async function fetchMetrics(fleet: Fleet, address: string): Promise<string> {
  return got(`http://${address}/metrics`, {
    headers: { authorization: `Bearer ${fleet.operator.key}` },
    retry: { limit: 0 },
    timeout: { request: TIMEOUT_MS },
  }).text();
}
