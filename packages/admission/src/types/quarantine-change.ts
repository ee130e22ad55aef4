/** Change of what a node believes about a prompt part. */
export interface QuarantineChange {
  readonly part: string;
  readonly kind: 'quarantined' | 'adopted' | 'tried' | 'released';
  readonly failedTrials?: number;
  readonly forMs?: number;
}
