import { PeriodicTask } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import type { HistoryRecord } from '@ragwortrudder/history';
import type { Fleet } from '@ragwortrudder/standins';

const PERIOD_MS = 200;

interface RunRecorderOptions {
  readonly fleet: Fleet;
  readonly record: (event: HistoryRecord, at: number) => void;
  readonly tenantOf: (key: string) => string;
}

/** Polls the runners and records the runs that they report. */
export class RunRecorder implements Closeable {
  readonly #options: RunRecorderOptions;
  readonly #recorded = new Set<string>();
  readonly #task: PeriodicTask;

  constructor(options: RunRecorderOptions) {
    this.#options = options;
    this.#task = new PeriodicTask({
      periodMs: PERIOD_MS,
      run: () => this.read(),
      onFailure: () => undefined,
    });
  }

  start(): void {
    this.#task.start();
  }

  async close(): Promise<void> {
    await this.#task.close();
  }

  /** Reads all runs and records those not yet recorded. */
  async read(): Promise<void> {
    await Promise.all([this.#readOperations(), this.#readGenerations()]);
  }

  async #readOperations(): Promise<void> {
    const { fleet, record, tenantOf } = this.#options;
    for (const run of await fleet.operationRuns()) {
      if (!this.#isNew(`${run.runner}#${run.number}`)) continue;
      const { service, version, vmId } = fleet.runner(run.runner);
      const isKeyed = !run.key.startsWith('r1.');
      record(
        {
          type: 'run',
          runner: run.runner,
          endpoint: vmId,
          service,
          version,
          requestId: run.key,
          ...(isKeyed ? { key: run.key, tenant: tenantOf(run.key) } : {}),
        },
        run.time,
      );
    }
  }

  async #readGenerations(): Promise<void> {
    const { fleet, record } = this.#options;
    for (const { runner, runs } of await fleet.engineStats()) {
      const { service, version, vmId } = fleet.runner(runner);
      for (const requestId of Object.keys(runs)) {
        if (!this.#isNew(`${runner}#${requestId}`)) continue;
        record({ type: 'run', runner, endpoint: vmId, service, version, requestId }, Date.now());
      }
    }
  }

  #isNew(name: string): boolean {
    if (this.#recorded.has(name)) return false;
    this.#recorded.add(name);
    return true;
  }
}
