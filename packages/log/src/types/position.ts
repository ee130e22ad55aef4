/** Place of an entry in a stream: `offset * 1024 + index` of the entry in its record. */
export type Position = number;
