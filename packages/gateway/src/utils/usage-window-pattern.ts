/** Number of a window of usage, as the key of a record. */
export const USAGE_WINDOW_PATTERN = /^\d{1,15}$/;
