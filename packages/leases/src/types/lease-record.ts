/** The last effective lease of one job. */
export interface LeaseRecord {
  readonly holder: string;
  /** Fencing number: the position of the acquiring entry. */
  readonly fence: number;
  /** Position of the last entry that set the end. */
  readonly grantedBy: number;
  /** End by log time, in milliseconds since the epoch. */
  readonly endsAtMs: number;
  readonly released: boolean;
}
