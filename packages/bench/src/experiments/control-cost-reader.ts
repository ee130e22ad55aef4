import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { InvalidInput } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';

const POLL_MS = 20;
const MAX_POLLS = 1000;

interface ConnectionCounts {
  readonly sent: number;
  readonly received: number;
  readonly connections: number;
  readonly requests: number;
}
interface CostSnapshot {
  readonly taken: number;
  readonly at: number;
  readonly cpuBefore: number;
  readonly cpuAfter: number;
  readonly heap: number;
  readonly rss: number;
  readonly counts: Readonly<Record<string, ConnectionCounts>>;
}

/** Reads cost snapshots (CPU, memory and traffic) of processes that run `control-cost-node`. */
export class ControlCostReader implements Closeable {
  readonly #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  /** Creates the folder that processes started afterwards write their snapshots to. */
  static async open(): Promise<ControlCostReader> {
    const folder = await mkdtemp(join(tmpdir(), 'control-cost-'));
    process.env.BENCH_COST_FOLDER = folder;
    return new ControlCostReader(folder);
  }

  /** Requests a new snapshot from the process with SIGUSR2 and waits for it. */
  async read(pid: number): Promise<CostSnapshot> {
    const takenBefore = (await this.#readLatest(pid))?.taken ?? 0;
    process.kill(pid, 'SIGUSR2');
    for (let poll = 0; poll < MAX_POLLS; poll += 1) {
      const latest = await this.#readLatest(pid);
      if (latest && latest.taken > takenBefore) return latest;
      await sleep(POLL_MS);
    }
    throw new InvalidInput(
      'process wrote no new cost snapshot after SIGUSR2; check that it runs control-cost-node and is alive',
      [`pid ${pid}`],
    );
  }

  async close(): Promise<void> {
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #readLatest(pid: number): Promise<CostSnapshot | undefined> {
    const text = await readFile(join(this.#folder, `${pid}.json`), 'utf8').catch(() => undefined);
    return text === undefined ? undefined : (JSON.parse(text) as CostSnapshot);
  }
}
