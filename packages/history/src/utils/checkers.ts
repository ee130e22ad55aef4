import type { Checker } from '../types/checker.ts';
import { acceptedSurvives } from './accepted-survives.ts';
import { atMostOnce } from './at-most-once.ts';
import { badVersionBounded } from './bad-version-bounded.ts';
import { gracefulStop } from './graceful-stop.ts';
import { leavingEndpoint } from './leaving-endpoint.ts';
import { notRunMeansNotRun } from './not-run-means-not-run.ts';
import { ticketInForce } from './ticket-in-force.ts';
import { wholeAnswerOnce } from './whole-answer-once.ts';

/** The checker of each promise, keyed by the name of the promise. */
export const checkers = {
  'accepted-survives': acceptedSurvives,
  'bad-version-bounded': badVersionBounded,
  'whole-answer-once': wholeAnswerOnce,
  'not-run-means-not-run': notRunMeansNotRun,
  'at-most-once': atMostOnce,
  'leaving-endpoint': leavingEndpoint,
  'graceful-stop': gracefulStop,
  'ticket-in-force': ticketInForce,
} as const satisfies Readonly<Record<string, Checker>>;
