import type { RequestClass } from './request-class.ts';

/** Properties of a request that admission control uses. */
export interface AdmissionRequest {
  readonly id: string;
  readonly tenant: string;
  readonly class: RequestClass;
  /** Estimated work, in the unit of the queue's drain rate (for example tokens). */
  readonly cost: number;
  /**
   * Monotonic time in milliseconds by which the request must have started: the caller's deadline
   * minus the expected service time.
   */
  readonly deadlineAt: number;
}
