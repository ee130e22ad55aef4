/** What the configuration says of cold runners of a service. */
export interface ColdService {
  readonly name: string;
  /** Requests per second that a cold runner tolerates from all nodes together; absent without a limit. */
  readonly coldPerS?: number;
  /** Usual length of a cold period, in milliseconds. */
  readonly warmupMs?: number;
}
