/**
 * Position of an entry in a stream: `offset * 1024 + index`, where `index` is the entry's index in
 * its record.
 */
export type Position = number;
