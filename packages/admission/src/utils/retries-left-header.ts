/**
 * Header that carries the retries still allowed, so that layers do not multiply. A layer that
 * retries by itself sends 0 to what it calls; one that does not passes the value on.
 */
export const RETRIES_LEFT_HEADER = 'x-retries-left';
