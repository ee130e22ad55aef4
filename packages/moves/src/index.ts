export { BadMark } from './types/bad-mark.ts';
export { Evidence } from './types/evidence.ts';
export { EvidenceCell } from './types/evidence-cell.ts';
export type { Move } from './types/move.ts';
export type { MoveStatus } from './types/move-status.ts';
export type { MoveWord } from './types/move-word.ts';
export type { Outcome } from './types/outcome.ts';
export type { SharePlan } from './types/share-plan.ts';
export type { Verdict } from './types/verdict.ts';
