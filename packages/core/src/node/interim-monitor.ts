import type { ClientRequest } from 'node:http';
import { malformedHeadReason } from '../utils/malformed-head-reason.ts';

/** Observes the interim responses of a request. */
export class InterimMonitor {
  #count = 0;
  #malformedReason: string | undefined;

  constructor(request: ClientRequest) {
    request.on('information', (head) => {
      this.#count += 1;
      this.#malformedReason ??= malformedHeadReason(head);
    });
  }

  get count(): number {
    return this.#count;
  }

  /** Why one of them is malformed, so that the response after it cannot be used either. */
  get malformedReason(): string | undefined {
    return this.#malformedReason;
  }
}
