/** Record, or an entry of it, that a follower passes over. */
export interface RejectedRecord {
  readonly offset: number;
  readonly id: string;
  readonly cause: string;
}
