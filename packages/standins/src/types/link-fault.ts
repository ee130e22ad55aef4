import type { RelayMode } from './relay-mode.ts';

/** Change of the mode of a link, or of all links by the name `*`. */
export interface LinkFault {
  readonly name: string;
  readonly mode: RelayMode;
  /**
   * Delay of each chunk in milliseconds.
   * @default 0
   */
  readonly delayMs?: number | undefined;
}
