import type { Proof } from '../types/proof.ts';
import { acceptedSurvives } from './proofs/accepted-survives.ts';
import { atMostOnce } from './proofs/at-most-once.ts';
import { badVersionBounded } from './proofs/bad-version-bounded.ts';
import { gracefulStop } from './proofs/graceful-stop.ts';
import { leavingEndpoint } from './proofs/leaving-endpoint.ts';
import { notRunMeansNotRun } from './proofs/not-run-means-not-run.ts';
import { ticketInForce } from './proofs/ticket-in-force.ts';
import { wholeAnswerOnce } from './proofs/whole-answer-once.ts';

/** All proofs, ordered by the number of their promise. */
export const proofs: readonly Proof[] = [
  acceptedSurvives,
  badVersionBounded,
  wholeAnswerOnce,
  notRunMeansNotRun,
  atMostOnce,
  leavingEndpoint,
  gracefulStop,
  ticketInForce,
];
