/** Rollout of a new version of a service, as requested by a ticket. */
export interface Move {
  /** Offset of the ticket that started the move. */
  readonly id: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Wall-clock time in milliseconds at which the move started. */
  readonly startedAt: number;
  /** Wall-clock deadline in milliseconds by which the new version must serve all requests. */
  readonly takeoverBy: number;
}
