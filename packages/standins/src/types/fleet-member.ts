/** Process of a fleet. */
export interface FleetMember {
  readonly name: string;
  readonly role: 'platform' | 'relay' | 'engine' | 'application' | 'entry';
  readonly failureDomain: string;
  /** Address of the control interface of a stand-in, or of the callers' interface of an entry node. */
  readonly address: string;
  /** Address of the peers' interface of an entry node. */
  readonly peerAddress?: string | undefined;
}
