/** `closed`: in use; `open`: set aside; `half-open`: let back in by a trickle. */
export type CircuitState = 'closed' | 'open' | 'half-open';
