import type { Position } from './position.ts';

/** One entry of a record whose body is a batch. */
export interface Entry {
  readonly position: Position;
  /** Offset of the record that contains the entry. */
  readonly offset: number;
  readonly id: string;
  /** Timestamp of the record in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly body: unknown;
}
