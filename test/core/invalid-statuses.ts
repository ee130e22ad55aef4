/** Status codes, as they stand in a status line, of which none is that of a final response. */
export const INVALID_STATUSES: readonly string[] = ['000', '099', '101', '600', '999'];
