import type { Experiment } from '../types/experiment.ts';
import type { ExperimentOptions } from '../types/experiment-options.ts';
import type { ResultRow } from '../types/result-row.ts';
import type { ResultTable } from '../types/result-table.ts';
import { runSilent } from './silent-run.ts';

const GROUPS = [
  [
    { fault: 'streams stall', isDetected: true },
    { fault: 'streams stall', isDetected: false },
  ],
  [
    { fault: 'connections go silent', isDetected: true },
    { fault: 'connections go silent', isDetected: false },
  ],
  [
    { fault: 'slow x5', isDetected: true },
    { fault: 'slow x10', isDetected: true },
  ],
] as const;

async function run({ seed, log }: ExperimentOptions): Promise<ResultTable> {
  const rows: ResultRow[] = [];
  for (const group of GROUPS) {
    log(group.map(({ fault }) => fault).join(', '));
    rows.push(
      ...(await Promise.all(
        group.map(async ({ fault, isDetected }) => ({
          policy: `${fault}, ${isDetected ? 'probed' : 'deadline only'}`,
          values: await runSilent({ fault, isDetected, seed }),
        })),
      )),
    );
  }
  return { seed, rows };
}

/**
 * Compares probing with deadlines alone for silent connections, and checks engines that are slow
 * but alive.
 */
export const silent: Experiment = {
  name: 'silent',
  summary: 'silent connections that are probed, or left to the deadline; slow engines',
  run,
};
