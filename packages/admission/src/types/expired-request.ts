import type { AdmissionRequest } from './admission-request.ts';
import type { RefusalReason } from './refusal-reason.ts';

/** A queued request that will not be run: its deadline cannot be met, or it was displaced. */
export interface ExpiredRequest {
  readonly request: AdmissionRequest;
  readonly reason: RefusalReason;
  /** Delay in milliseconds after which a retry makes sense. */
  readonly retryAfterMs: number;
}
