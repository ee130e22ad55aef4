/** Takeover of a service by a new version, as a ticket asks for it. */
export interface Move {
  /** Offset of the ticket that started the move. */
  readonly id: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Wall-clock time in milliseconds at which the move started. */
  readonly startedAt: number;
  /** Wall-clock time in milliseconds by which the new version must have taken over. */
  readonly takeoverBy: number;
}
