import type { RetryBudgetKey } from '@ragwortrudder/admission';
import type { AcceptedRequest } from '@ragwortrudder/requests';

/** What the retry budget of a request is kept for: its service and class. */
export function retryKeyOf({ service, class: name }: AcceptedRequest): RetryBudgetKey {
  return { endpoint: service, class: name === 'batch' ? 'batch' : 'interactive' };
}
