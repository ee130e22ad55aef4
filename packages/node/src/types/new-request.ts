import type { RequestInput } from '@ragwortrudder/requests';

/** A request as a caller sent it, before it is accepted. */
export interface NewRequest {
  readonly tenant: string;
  readonly service: string;
  readonly class: string;
  /** Wall-clock time in milliseconds after which the answer has no worth. */
  readonly deadline: number;
  readonly input: RequestInput;
  /** Idempotency key, if the caller sent one. */
  readonly key?: string;
  /** True when another node passed the request on; it is not passed on again. */
  readonly forwarded?: boolean;
}
