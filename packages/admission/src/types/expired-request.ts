import type { AdmissionRequest } from './admission-request.ts';

/** A queued request whose deadline can no longer be met; it has not been run. */
export interface ExpiredRequest {
  readonly request: AdmissionRequest;
  /** Delay in milliseconds after which a retry makes sense. */
  readonly retryAfterMs: number;
}
