/**
 * Maximum number of entries per record, and the distance between the positions of consecutive
 * records.
 */
export const POSITIONS_PER_RECORD = 1024;
