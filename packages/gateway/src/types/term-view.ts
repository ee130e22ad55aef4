import type { KeyedPosition } from '@ragwortrudder/log';
import type { PeerEntry } from './peer-entry.ts';

/** What a node has read about the newest duty term. */
export interface TermView {
  /** End of the topic of duties at the time of the read. */
  readonly position: KeyedPosition;
  /** Holder of the newest term; undefined when there is none. */
  readonly holder: string | undefined;
  /** Fencing token of the newest term; 0 when there is none. */
  readonly token: number;
  /** Where peers reach the holder; undefined in a term of an older build. */
  readonly entry: PeerEntry | undefined;
}
