export { proofs } from './node/proofs.ts';
export { runProof } from './node/run-proof.ts';
export type { Proof } from './types/proof.ts';
export type { ProofResult } from './types/proof-result.ts';
