/** Largest number of entries of one record, and the distance between positions of two records. */
export const POSITIONS_PER_RECORD = 1024;
