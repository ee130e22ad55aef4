import type { Route } from '@ragwortrudder/catalog';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { NextStep } from '../types/next-step.ts';

interface AttemptHistory {
  readonly route: Pick<Route, 'kind' | 'isResumable' | 'maxAttempts'>;
  /** Sends that reached or may have reached a runner. */
  readonly sends: number;
  /** Connections that could not be opened. */
  readonly unsent: number;
  /** One of the sends may have run. */
  readonly mayHaveRun: boolean;
  /** Part of an answer has been passed on. */
  readonly hasBegun: boolean;
  /** There is time and a runner for a further send. */
  readonly canRetry: boolean;
  /** Takes one repeat from the budget; false when it is used up. */
  readonly takeBudget: () => boolean;
}

/** Connections that may fail to open before a request is refused. */
const MAX_UNSENT = 3;
const FIRST_SERVER_ERROR = 500;

function isRepeatable({ kind, isResumable }: AttemptHistory['route']): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/** Decides what follows an attempt, so that nothing runs twice that must not and refusals are true. */
export function nextStep(outcome: AttemptOutcome, history: AttemptHistory): NextStep {
  const { route, sends, unsent, mayHaveRun, hasBegun, canRetry, takeBudget } = history;
  const giveUp: NextStep = mayHaveRun || hasBegun ? 'fail' : 'refuse';
  const hasSendLeft = canRetry && sends < route.maxAttempts;
  switch (outcome.kind) {
    case 'relayed':
    case 'ended':
      return 'done';
    case 'answered': {
      const isFailure = outcome.answer.head.status >= FIRST_SERVER_ERROR;
      const retries = isFailure && route.kind === 'idempotent' && hasSendLeft && takeBudget();
      return retries ? 'retry' : 'answer';
    }
    case 'unsent':
      return canRetry && unsent < MAX_UNSENT && sends < route.maxAttempts ? 'retry' : giveUp;
    case 'refused':
      return hasSendLeft && takeBudget() ? 'retry' : giveUp;
    case 'broken':
      return isRepeatable(route) && hasSendLeft && takeBudget() ? 'retry' : 'fail';
  }
}
