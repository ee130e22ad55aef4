import type { RelayMode } from './relay-mode.ts';

/** State of a link of a relay. */
export interface LinkReport {
  readonly name: string;
  readonly port: number;
  readonly mode: RelayMode;
  /** Connections accepted since the relay started. */
  readonly accepted: number;
  /** Bytes dropped because of the mode of the link. */
  readonly lostBytes: number;
}
