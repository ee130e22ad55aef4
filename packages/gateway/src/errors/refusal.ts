import { Failure } from '@ragwortrudder/core';
import type { RefusalCause } from '../types/refusal-cause.ts';

interface RefusalOptions {
  readonly status: number;
  readonly retryAfterMs?: number;
  /** Values that the refusal is based on, for the log. */
  readonly inputs?: Readonly<Record<string, string | number | undefined>>;
}

const HINTS: Readonly<Record<RefusalCause, string>> = {
  'no-configuration': 'the node has not read a configuration yet; see the state of the store',
  'configuration-unconfirmed':
    'the configuration in force lacks it, and a newer one may have it; see the state of the store',
  'route-unknown': 'no route of the configuration in force matches host and path',
  'key-unknown': 'no team of the configuration in force holds the key',
  'quota-exceeded': 'the team has used what its limit allows',
  'prompt-quarantined':
    'runners crashed under requests with a part of this prompt; see prompt-part lines in the log',
  'request-quarantined':
    'runners crashed under this request when it came before; see prompt-part lines in the log',
  'no-runner': 'no runner of the service can take the request; see the list of runners',
  'service-overloaded':
    'more urgent requests of the service need its runners, or the deadline cannot be met; see the reason in the log',
  'runner-full': 'the runner refused the request without running it',
  'runner-unreachable': 'no connection to a runner could be opened, here or at a peer',
  'runner-broken': 'the runner broke off; the request may have run',
  'time-out': "the request was not answered within its deadline or the route's timeout",
  'body-too-large': 'the body is larger than the limit of the configuration',
  'header-too-large': 'the headers are larger than the limit of the configuration',
  'node-stopping': 'the node is stopping; send the request to another',
  'node-closed':
    'the node closed at the end of its grace period, before a runner answered; the request may have run',
  'node-busy': 'the node has as many requests of its peers as it takes',
  'memory-full': 'the bodies of all requests take the memory that the node has for them',
  'node-failed': 'the node failed to serve the request, which may have run; see its log',
  'rejected-by-peer': 'the peer that the request was passed on to rejected it; see its log',
};

/** Final error response of the node itself: the reason why no runner answered the request. */
export class Refusal extends Failure {
  readonly code: RefusalCause;
  /** Values that the refusal is based on, for the log. */
  readonly inputs: Readonly<Record<string, string | number | undefined>>;

  constructor(code: RefusalCause, { status, retryAfterMs, inputs = {} }: RefusalOptions) {
    super(code, {
      status,
      hint: HINTS[code],
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
    this.code = code;
    this.inputs = inputs;
  }
}
