import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { InvalidInput } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';

const POLL_MS = 20;
const POLLS = 1000;

interface Counts {
  readonly sent: number;
  readonly received: number;
  readonly connections: number;
  readonly requests: number;
}
interface Snapshot {
  readonly taken: number;
  readonly at: number;
  readonly cpuBefore: number;
  readonly cpuAfter: number;
  readonly heap: number;
  readonly rss: number;
  readonly counts: Readonly<Record<string, Counts>>;
}

/** Reads what processes run by `control-cost-node` have cost so far. */
export class ControlCostReader implements Closeable {
  readonly #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  /** Makes the folder that processes started from now on write to. */
  static async open(): Promise<ControlCostReader> {
    const folder = await mkdtemp(join(tmpdir(), 'control-cost-'));
    process.env.BENCH_COST_FOLDER = folder;
    return new ControlCostReader(folder);
  }

  /** Asks the process for its cost and returns it. */
  async read(pid: number): Promise<Snapshot> {
    const before = (await this.#last(pid))?.taken ?? 0;
    process.kill(pid, 'SIGUSR2');
    for (let poll = 0; poll < POLLS; poll += 1) {
      const last = await this.#last(pid);
      if (last && last.taken > before) return last;
      await sleep(POLL_MS);
    }
    throw new InvalidInput('a process did not tell its cost', [`pid ${pid}`]);
  }

  async close(): Promise<void> {
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #last(pid: number): Promise<Snapshot | undefined> {
    const text = await readFile(join(this.#folder, `${pid}.json`), 'utf8').catch(() => undefined);
    return text === undefined ? undefined : (JSON.parse(text) as Snapshot);
  }
}
