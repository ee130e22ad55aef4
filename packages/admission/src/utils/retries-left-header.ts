/**
 * Header with the number of retries still allowed, so that retries of nested layers do not
 * multiply. A layer that retries by itself sends 0 downstream; a layer that does not forwards the
 * value.
 */
export const RETRIES_LEFT_HEADER = 'x-retries-left';
