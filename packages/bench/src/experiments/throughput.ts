import { execFile } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { Fleet } from '@ragwortrudder/standins';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { equalShareTicket } from '../utils/equal-share-ticket.ts';

interface LoadLoop {
  readonly name: string;
  readonly concurrency: number;
  readonly rate: number;
}

interface ThroughputOptions extends ExperimentOptions {
  /** Node programs by version name; undefined selects the default program. */
  readonly programs: Readonly<Record<string, string | undefined>>;
  readonly loops: readonly LoadLoop[];
  /** Duration of one measurement. */
  readonly seconds: number;
}

const CLIENT = fileURLToPath(new URL('../cli/throughput-client.ts', import.meta.url));
const TSX = import.meta.resolve('tsx');
const ENGINES = 4;
const TOKENS = 64;
const SETTLE_MS = 4000;
const WARM_UP: LoadLoop = { name: 'warm-up', concurrency: 16, rate: 0 };
const CLIENT_TIMEOUT_MS = 120_000;
const FAST_ENGINE = {
  ...{ stepMs: 4, decodeTokenMs: 0, prefillTokenMs: 0 },
  ...{ tokenBudget: 8192, maxRunning: 256, kvCapacity: 1_000_000 },
};
/** Indexes of the user and system time in `/proc/PID/stat`, counted after the process name. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const MS_PER_TICK = 10;
const MICROSECONDS_PER_MS = 1000;
const execFileAsync = promisify(execFile);

function createFleet(seed: number, program: string | undefined): Fleet {
  return new Fleet({
    ...{ seed, program },
    failureDomains: ['a', 'b'],
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: ENGINES, options: FAST_ENGINE },
    ],
    settings: { admission: { runnerLimit: 256 } },
  });
}

async function runClient(load: object): Promise<Readonly<Record<string, number>>> {
  const args = [`--import=${TSX}`, CLIENT, JSON.stringify(load)];
  const { stdout } = await execFileAsync(process.execPath, args, { timeout: CLIENT_TIMEOUT_MS });
  return JSON.parse(stdout) as Readonly<Record<string, number>>;
}

/** Returns the CPU time used by a process so far in milliseconds, or NaN when it is not running. */
async function cpuMsOf(pid: number | undefined): Promise<number> {
  if (pid === undefined) return Number.NaN;
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MS_PER_TICK;
}

async function measureLoop(
  fleet: Fleet,
  loop: LoadLoop,
  options: ThroughputOptions,
  direct: boolean,
): Promise<Readonly<Record<string, number>>> {
  const engine = fleet.runners[0]?.address ?? '';
  const node = fleet.callersAddress('entry-1');
  const { concurrency, rate } = loop;
  const cpuMs = (): Promise<readonly number[]> =>
    Promise.all(fleet.entries.map(({ name }) => cpuMsOf(fleet.pid(name))));
  const cpuMsBefore = await cpuMs();
  const values = await runClient({
    ...{ direct, concurrency, rate, maxTokens: TOKENS, seconds: options.seconds },
    address: direct ? engine : node,
    key: fleet.layout.tenants[0]?.key,
  });
  const cpuMsAfter = await cpuMs();
  const tokens = (values['tokens/s'] ?? 0) * options.seconds;
  const usedMs = cpuMsAfter.map((ms, index) => ms - (cpuMsBefore[index] ?? 0));
  const [owner = Number.NaN, replicaHolder = Number.NaN] = usedMs;
  return {
    ...values,
    'node cpu µs/token': (owner * MICROSECONDS_PER_MS) / tokens,
    'holder cpu µs/token': (replicaHolder * MICROSECONDS_PER_MS) / tokens,
  };
}

async function measureVersion(
  version: string,
  program: string | undefined,
  options: ThroughputOptions,
): Promise<readonly ResultRow[]> {
  const fleet = createFleet(options.seed, program);
  const rows: ResultRow[] = [];
  const measureLoops = async (target: string, direct: boolean): Promise<void> => {
    for (const loop of options.loops) {
      options.log(`${version}, ${target}, ${loop.name}`);
      const values = await measureLoop(fleet, loop, options, direct);
      rows.push({ policy: `${version}, ${target}, ${loop.name}`, values });
    }
  };
  try {
    await fleet.startBackEnds();
    await fleet.startEntries(['entry-1']);
    await fleet.submitTicket(equalShareTicket({ services: ['quotes'], tenants: ['acme'] }));
    await sleep(SETTLE_MS);
    await measureLoop(fleet, WARM_UP, { ...options, seconds: 2 }, false);
    await measureLoops('engine itself', true);
    await measureLoops('node alone', false);
    await fleet.startEntries(['entry-2']);
    await sleep(SETTLE_MS);
    await measureLoop(fleet, WARM_UP, { ...options, seconds: 2 }, false);
    await measureLoops('node and replica', false);
    return rows;
  } finally {
    await fleet.close();
  }
}

/**
 * Measures requests and streamed tokens through one node, compared with calling the engine
 * directly.
 */
export async function throughput(options: ThroughputOptions): Promise<ResultTable> {
  const rows: ResultRow[] = [];
  for (const [version, program] of Object.entries(options.programs)) {
    rows.push(...(await measureVersion(version, program, options)));
  }
  return { seed: options.seed, rows };
}
