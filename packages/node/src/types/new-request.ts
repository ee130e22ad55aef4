import type { RequestInput } from '@ragwortrudder/requests';

/** Request from a caller that has not been accepted yet. */
export interface NewRequest {
  readonly tenant: string;
  readonly service: string;
  readonly class: string;
  /** Wall-clock time in milliseconds after which the caller no longer needs the response. */
  readonly deadline: number;
  readonly input: RequestInput;
  /** Idempotency key, if the caller sent one. */
  readonly key?: string;
  /** True when another node forwarded the request; it is not forwarded a second time. */
  readonly forwarded?: boolean;
}
