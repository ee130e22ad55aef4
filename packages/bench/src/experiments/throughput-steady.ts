import { execFile } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { Fleet } from '@ragwortrudder/standins';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { equalShareTicket } from '../utils/equal-share-ticket.ts';
import { ControlCostReader } from './control-cost-reader.ts';

const CLIENT = fileURLToPath(new URL('../cli/throughput-client.ts', import.meta.url));
const PROGRAM = fileURLToPath(new URL('../cli/control-cost-node.ts', import.meta.url));
const TSX = import.meta.resolve('tsx');
const RATE = 15;
const TOKENS = 64;
const SECONDS = 60;
const SAMPLE_MS = 6000;
const RETENTION_MS = 10_000;
const SETTLE_MS = 4000;
const BYTES_PER_MB = 1024 * 1024;
const MS_PER_SECOND = 1000;
const CLIENT_TIMEOUT_MS = 120_000;
const ENGINE = { stepMs: 4, decodeTokenMs: 0, prefillTokenMs: 0, tokenBudget: 8192 };
const execFileAsync = promisify(execFile);

async function sampleMemory(
  fleet: Fleet,
  reader: ControlCostReader,
  rowName: string,
): Promise<ResultRow> {
  const pids = fleet.entries.map((entry) => fleet.pid(entry.name) ?? 0);
  const costs = await Promise.all(pids.map((pid) => reader.read(pid)));
  const columns = costs.flatMap(({ heap, rss }, index) => [
    [`node ${index + 1} heap MB`, heap / BYTES_PER_MB],
    [`node ${index + 1} resident MB`, rss / BYTES_PER_MB],
  ]);
  return { policy: rowName, values: Object.fromEntries(columns) as Record<string, number> };
}

/**
 * Measures the memory after garbage collection of an owner and its replica holder during a steady
 * load.
 */
export async function throughputSteady({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  const reader = await ControlCostReader.open();
  const fleet = new Fleet({
    ...{ seed, program: PROGRAM, failureDomains: ['a', 'b'] },
    runners: [{ service: 'quotes', version: 'v1', kind: 'model', count: 4, options: ENGINE }],
    settings: { requests: { retentionMs: RETENTION_MS } },
  });
  try {
    await fleet.start();
    await fleet.submitTicket(equalShareTicket({ services: ['quotes'], tenants: ['acme'] }));
    await sleep(SETTLE_MS);
    const rows = [await sampleMemory(fleet, reader, 'before')];
    const load = {
      ...{ direct: false, concurrency: 0, rate: RATE, maxTokens: TOKENS, seconds: SECONDS },
      address: fleet.callersAddress('entry-1'),
      key: fleet.layout.tenants[0]?.key,
    };
    const args = [`--import=${TSX}`, CLIENT, JSON.stringify(load)];
    const client = execFileAsync(process.execPath, args, { timeout: CLIENT_TIMEOUT_MS });
    for (let ms = SAMPLE_MS; ms <= SECONDS * MS_PER_SECOND; ms += SAMPLE_MS) {
      await sleep(SAMPLE_MS);
      rows.push(await sampleMemory(fleet, reader, `${ms / MS_PER_SECOND} s`));
    }
    log((await client).stdout.trim());
    await sleep(2 * RETENTION_MS);
    rows.push(await sampleMemory(fleet, reader, 'after retention'));
    return { seed, rows };
  } finally {
    await fleet.close();
    await reader.close();
  }
}
