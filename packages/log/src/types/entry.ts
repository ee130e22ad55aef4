import type { Position } from './position.ts';

/** One entry of a record that carries a batch. */
export interface Entry {
  readonly position: Position;
  /** Offset of the record that carries the entry. */
  readonly offset: number;
  readonly id: string;
  /** Time of the record in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly body: unknown;
}
