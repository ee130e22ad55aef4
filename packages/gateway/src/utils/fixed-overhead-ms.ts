/**
 * Network and scheduling overhead that is added to both the measured and the expected latency before they
 * are compared, in milliseconds.
 */
export const FIXED_OVERHEAD_MS = 60;
