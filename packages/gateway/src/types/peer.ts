import type { Address } from '@ragwortrudder/catalog';

/** What a node knows of another one. */
export interface Peer {
  readonly address: Address;
  readonly failureDomain: string | undefined;
  readonly incarnation: number;
  readonly sequence: number;
  /**
   * When this node last received state of the peer, directly or through a relay; undefined before
   * the first time.
   */
  readonly lastReceivedAt: number | undefined;
  /** When its own last report arrived; undefined before the first one. */
  readonly lastReportAt: number | undefined;
  /** It reads digests of its own failure domain. */
  readonly readsLocalDigests: boolean;
  /** It reads compressed messages. */
  readonly readsCompressed: boolean;
  readonly addedAt: number;
  readonly dutyToken: number;
  readonly isSilent: boolean;
}
