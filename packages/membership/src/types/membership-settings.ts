/** Settings of the membership protocol. */
export interface MembershipSettings {
  /**
   * Interval between probe rounds in milliseconds.
   * @default 1000
   */
  readonly probePeriodMs: number;
  /**
   * Timeout of a direct probe in milliseconds.
   * @default 300
   */
  readonly probeTimeoutMs: number;
  /**
   * Time in milliseconds for which a suspected member must stay unreachable before it is declared dead.
   * @default 3000
   */
  readonly suspicionMs: number;
  /**
   * Suspicion time in milliseconds for a member of a remote failure domain that is entirely unreachable.
   * @default 10000
   */
  readonly domainSuspicionMs: number;
  /**
   * Number of members that are asked for an indirect probe when a direct probe fails.
   * @default 3
   */
  readonly indirectProbes: number;
  /**
   * Number of rounds between probes to a remote failure domain.
   * @default 2
   */
  readonly crossDomainRounds: number;
  /**
   * Average number of rounds between synchronizations with a random member.
   * @default 10
   */
  readonly syncRounds: number;
  /**
   * Maximum number of suspects that are probed again in each round.
   * @default 3
   */
  readonly suspectsPerRound: number;
  /**
   * Byte budget of the gossip in one message; larger updates exceed it in one message but not on average.
   * @default 420
   */
  readonly gossipBytes: number;
  /**
   * Maximum size in bytes of the differences that one synchronization carries.
   * @default 4096
   */
  readonly syncBytes: number;
  /**
   * Time in milliseconds for which members that left or died are retained.
   * @default 3600000
   */
  readonly goneRetentionMs: number;
}
