import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { checkers } from '@ragwortrudder/history';
import type { Proof } from '../types/proof.ts';
import type { ProofResult } from '../types/proof-result.ts';
import { Stage } from './stage.ts';

interface RunOptions {
  readonly proof: Proof;
  readonly seed: number;
  /** Folder that the history is written to, one file a run. */
  readonly folder: string;
}

/** Runs a proof once on a deployment of its own and judges the history. */
export async function runProof({ proof, seed, folder }: RunOptions): Promise<ProofResult> {
  const stage = new Stage({ fleet: proof.fleet, seed });
  try {
    await stage.start();
    await proof.run(stage);
    await stage.settle();
  } finally {
    await stage.close();
  }
  const { history } = stage;
  await mkdir(folder, { recursive: true });
  const lines = history.map((event) => JSON.stringify(event)).join('\n');
  await writeFile(join(folder, `${proof.name}-${seed}.jsonl`), lines);
  return {
    promise: proof.promise,
    name: proof.name,
    seed,
    operations: stage.operations,
    faults: stage.faults,
    words: stage.words,
    violations: proof.checkers.flatMap((name) => checkers[name](history, proof.bounds)),
  };
}
