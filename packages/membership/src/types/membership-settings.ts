/** Settings of the membership protocol. */
export interface MembershipSettings {
  /**
   * Time between two probe rounds in milliseconds.
   * @default 1000
   */
  readonly probePeriodMs: number;
  /**
   * Time to wait for the reply to a direct probe in milliseconds.
   * @default 300
   */
  readonly probeTimeoutMs: number;
  /**
   * Time in milliseconds for which a member must stay out of contact before it is declared dead.
   * @default 3000
   */
  readonly suspicionMs: number;
  /**
   * The same in milliseconds for a member of another failure domain of which nobody is in contact.
   * @default 10000
   */
  readonly domainSuspicionMs: number;
  /**
   * Number of members asked to probe on behalf of this node when a direct probe fails.
   * @default 3
   */
  readonly indirectProbes: number;
  /**
   * Number of rounds between two probes to another failure domain.
   * @default 2
   */
  readonly crossDomainRounds: number;
  /**
   * Number of rounds between two synchronizations with a random member.
   * @default 10
   */
  readonly syncRounds: number;
  /**
   * Number of suspects that are probed again in each round.
   * @default 3
   */
  readonly suspectsPerRound: number;
  /**
   * Size limit in bytes of the changes that one message carries along.
   * @default 420
   */
  readonly gossipBytes: number;
  /**
   * Size limit in bytes of the differences that one synchronization carries.
   * @default 4096
   */
  readonly syncBytes: number;
  /**
   * Time in milliseconds for which members that left or died are remembered.
   * @default 3600000
   */
  readonly goneRetentionMs: number;
}
