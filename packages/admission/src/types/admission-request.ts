import type { RequestClass } from './request-class.ts';

/** A request as admission sees it. */
export interface AdmissionRequest {
  readonly id: string;
  readonly tenant: string;
  readonly class: RequestClass;
  /** Estimated work, in the unit of the queue's drain rate (for example tokens). */
  readonly cost: number;
  /**
   * Monotonic time in milliseconds by which the request must have started: the caller's deadline
   * less the expected time of service.
   */
  readonly deadlineAt: number;
}
