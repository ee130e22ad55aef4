import { Failure } from '@ragwortrudder/core';

/** The requested records are older than the log's retention. */
export class LogExpired extends Failure {
  readonly code = 'log-expired';
  /** Oldest retained offset. */
  readonly first: number;
  /** Offset that follows the newest record. */
  readonly next: number;

  constructor(first: number, next: number) {
    super(`records before offset ${first} have expired`, {
      status: 410,
      hint: 'restore from a snapshot or from a peer',
    });
    this.first = first;
    this.next = next;
  }
}
