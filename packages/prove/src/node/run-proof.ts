import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { checkers } from '@ragwortrudder/history';
import type { Proof } from '../types/proof.ts';
import type { ProofResult } from '../types/proof-result.ts';
import { ProofEnvironment } from './proof-environment.ts';

interface RunOptions {
  readonly proof: Proof;
  readonly seed: number;
  /** Folder to which the history is written, one file per run. */
  readonly folder: string;
}

/** Runs a proof once on a new deployment and checks the recorded history. */
export async function runProof({ proof, seed, folder }: RunOptions): Promise<ProofResult> {
  const environment = new ProofEnvironment({ fleet: proof.fleet, seed });
  try {
    await environment.start();
    await proof.run(environment);
    await environment.recordRemainingRuns();
  } finally {
    await environment.close();
  }
  const { history } = environment;
  await mkdir(folder, { recursive: true });
  const lines = history.map((event) => JSON.stringify(event)).join('\n');
  await writeFile(join(folder, `${proof.name}-${seed}.jsonl`), lines);
  return {
    promise: proof.promise,
    name: proof.name,
    seed,
    operations: environment.operations,
    faults: environment.faults,
    words: environment.words,
    violations: proof.checkers.flatMap((name) => checkers[name](history, proof.bounds)),
  };
}
