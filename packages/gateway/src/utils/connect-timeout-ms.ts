/**
 * Time within which a connection to a runner or a peer must be open, in milliseconds: many round trips between
 * failure domains, yet far below a latency target.
 */
export const CONNECT_TIMEOUT_MS = 250;
