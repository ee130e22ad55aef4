import type { RelayMode } from './relay-mode.ts';

/** State of a link of a relay. */
export interface LinkReport {
  readonly name: string;
  readonly port: number;
  readonly mode: RelayMode;
  /** Connections accepted since the start. */
  readonly accepted: number;
  /** Bytes that were not passed on because of a mode. */
  readonly lostBytes: number;
}
