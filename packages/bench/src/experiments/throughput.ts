import { execFile } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { Fleet } from '@ragwortrudder/standins';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { ticketOf } from '../utils/ticket-of.ts';

interface Loop {
  readonly name: string;
  readonly concurrency: number;
  readonly rate: number;
}

interface ThroughputOptions extends ExperimentOptions {
  /** Programs that run the nodes, by the name of the version. */
  readonly programs: Readonly<Record<string, string | undefined>>;
  readonly loops: readonly Loop[];
  /** Time of one measurement. */
  readonly seconds: number;
}

const CLIENT = fileURLToPath(new URL('../cli/throughput-client.ts', import.meta.url));
const TSX = import.meta.resolve('tsx');
const ENGINES = 4;
const TOKENS = 64;
const SETTLE_MS = 4000;
const WARM_UP: Loop = { name: 'warm-up', concurrency: 16, rate: 0 };
const CLIENT_TIMEOUT_MS = 120_000;
const FAST_ENGINE = {
  ...{ stepMs: 4, decodeTokenMs: 0, prefillTokenMs: 0 },
  ...{ tokenBudget: 8192, maxRunning: 256, kvCapacity: 1_000_000 },
};
/** Places in `/proc/PID/stat` after the name of the process. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const MS_PER_TICK = 10;
const MICROSECONDS_PER_MS = 1000;
const run = promisify(execFile);

function fleetOf(seed: number, program: string | undefined): Fleet {
  return new Fleet({
    ...{ seed, program },
    failureDomains: ['a', 'b'],
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: ENGINES, options: FAST_ENGINE },
    ],
    settings: { admission: { runnerLimit: 256 } },
  });
}

async function callClient(load: object): Promise<Readonly<Record<string, number>>> {
  const args = [`--import=${TSX}`, CLIENT, JSON.stringify(load)];
  const { stdout } = await run(process.execPath, args, { timeout: CLIENT_TIMEOUT_MS });
  return JSON.parse(stdout) as Readonly<Record<string, number>>;
}

/** Processor time used by a process so far, in milliseconds; NaN when it does not run. */
async function cpuMsOf(pid: number | undefined): Promise<number> {
  if (pid === undefined) return Number.NaN;
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MS_PER_TICK;
}

async function measureLoop(
  fleet: Fleet,
  loop: Loop,
  options: ThroughputOptions,
  direct: boolean,
): Promise<Readonly<Record<string, number>>> {
  const engine = fleet.runners[0]?.address ?? '';
  const node = fleet.callersAddress('entry-1');
  const { concurrency, rate } = loop;
  const cpuMs = (): Promise<readonly number[]> =>
    Promise.all(fleet.entries.map(({ name }) => cpuMsOf(fleet.pid(name))));
  const before = await cpuMs();
  const values = await callClient({
    ...{ direct, concurrency, rate, maxTokens: TOKENS, seconds: options.seconds },
    address: direct ? engine : node,
    key: fleet.layout.tenants[0]?.key,
  });
  const after = await cpuMs();
  const tokens = (values['tokens/s'] ?? 0) * options.seconds;
  const usedMs = after.map((ms, index) => ms - (before[index] ?? 0));
  const [owner = Number.NaN, holder = Number.NaN] = usedMs;
  return {
    ...values,
    'node cpu µs/token': (owner * MICROSECONDS_PER_MS) / tokens,
    'holder cpu µs/token': (holder * MICROSECONDS_PER_MS) / tokens,
  };
}

async function measureVersion(
  version: string,
  program: string | undefined,
  options: ThroughputOptions,
): Promise<readonly ResultRow[]> {
  const fleet = fleetOf(options.seed, program);
  const rows: ResultRow[] = [];
  const loopsOver = async (way: string, direct: boolean): Promise<void> => {
    for (const loop of options.loops) {
      options.log(`${version}, ${way}, ${loop.name}`);
      const values = await measureLoop(fleet, loop, options, direct);
      rows.push({ policy: `${version}, ${way}, ${loop.name}`, values });
    }
  };
  try {
    await fleet.startBackEnds();
    await fleet.startEntries(['entry-1']);
    await fleet.submitTicket(ticketOf({ services: ['quotes'], tenants: ['acme'] }));
    await sleep(SETTLE_MS);
    await measureLoop(fleet, WARM_UP, { ...options, seconds: 2 }, false);
    await loopsOver('engine itself', true);
    await loopsOver('node alone', false);
    await fleet.startEntries(['entry-2']);
    await sleep(SETTLE_MS);
    await measureLoop(fleet, WARM_UP, { ...options, seconds: 2 }, false);
    await loopsOver('node and replica', false);
    return rows;
  } finally {
    await fleet.close();
  }
}

/** Requests and streamed tokens through one node, beside calling the engine itself. */
export async function throughput(options: ThroughputOptions): Promise<ResultTable> {
  const rows: ResultRow[] = [];
  for (const [version, program] of Object.entries(options.programs)) {
    rows.push(...(await measureVersion(version, program, options)));
  }
  return { seed: options.seed, rows };
}
