import type { Route } from '@ragwortrudder/catalog';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { NextStep } from '../types/next-step.ts';
import { isRepeatable } from './is-repeatable.ts';
import { MAX_UNSENT } from './max-unsent.ts';

interface AttemptHistory {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'maxAttempts'>;
  /** Attempts in which the request was sent, or may have been sent, to a runner. */
  readonly sends: number;
  /** Attempts in which no connection could be opened. */
  readonly unsent: number;
  /** A runner may have executed the request. */
  readonly mayHaveRun: boolean;
  /** Part of a response has been sent to the caller. */
  readonly hasBegun: boolean;
  /**
   * Another runner can produce the rest of the response: nothing has been sent, or the last event
   * that was sent has an id.
   */
  readonly canContinue: boolean;
  /** There is enough time and a candidate runner for another attempt. */
  readonly canRetry: boolean;
  /**
   * Another attempt at the request is in progress.
   * @default false
   */
  readonly hasOther?: boolean;
  /**
   * The request may be sent over an open connection, so that none has to be opened.
   * @default false
   */
  readonly hasOpen?: boolean;
  /** Takes one retry from the budget; returns false when the budget is exhausted. */
  readonly takeBudget: () => boolean;
}

const FIRST_SERVER_ERROR = 500;

/** The outcome ends the request, so that no other attempt is waited for. */
function isResponse(outcome: AttemptOutcome, hasBegun: boolean): boolean {
  if (outcome.kind === 'answered') {
    return !hasBegun && outcome.response.head.status < FIRST_SERVER_ERROR;
  }
  return outcome.kind === 'relayed' || outcome.kind === 'ended';
}

/**
 * Decides what to do after an attempt. A request that may have been executed is retried only if it is
 * idempotent or a resumable stream, and a request is refused only if no runner can have executed it.
 */
export function nextStep(outcome: AttemptOutcome, history: AttemptHistory): NextStep {
  const { route, sends, unsent, mayHaveRun, hasBegun, canContinue, canRetry, takeBudget } = history;
  if (history.hasOther && !isResponse(outcome, hasBegun)) return 'wait';
  const giveUpStep: NextStep = mayHaveRun || hasBegun ? 'fail' : 'refuse';
  const hasAttemptLeft = canRetry && canContinue && sends < route.maxAttempts;
  switch (outcome.kind) {
    case 'relayed':
    case 'ended':
      return 'done';
    case 'answered': {
      // A caller that has received a part of a stream cannot receive another status.
      if (hasBegun) return hasAttemptLeft && takeBudget() ? 'retry' : 'fail';
      const isFailure = outcome.response.head.status >= FIRST_SERVER_ERROR;
      const shouldRetry =
        isFailure && route.kind === 'idempotent' && hasAttemptLeft && takeBudget();
      return shouldRetry ? 'retry' : 'answer';
    }
    case 'unsent': {
      const mayConnect = history.hasOpen === true || unsent < MAX_UNSENT;
      return canRetry && mayConnect && sends < route.maxAttempts ? 'retry' : giveUpStep;
    }
    case 'refused':
      return hasAttemptLeft && takeBudget() ? 'retry' : giveUpStep;
    case 'broken':
      return isRepeatable(route) && hasAttemptLeft && takeBudget() ? 'retry' : 'fail';
  }
}
