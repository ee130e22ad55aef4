import type { AdmissionRequest } from './admission-request.ts';
import type { RefusalReason } from './refusal-reason.ts';

/** A queued request that was dropped because its deadline cannot be met or it was displaced. */
export interface DroppedRequest {
  readonly request: AdmissionRequest;
  readonly reason: RefusalReason;
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs: number;
}
