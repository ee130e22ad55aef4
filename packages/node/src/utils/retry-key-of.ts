import type { RetryBudgetKey } from '@ragwortrudder/admission';
import type { AcceptedRequest } from '@ragwortrudder/requests';

/** Key of the retry budget that a request draws on: its service and class. */
export function retryKeyOf({ service, class: name }: AcceptedRequest): RetryBudgetKey {
  return { endpoint: service, class: name === 'batch' ? 'batch' : 'interactive' };
}
