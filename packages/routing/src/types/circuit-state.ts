/**
 * `closed`: in use; `open`: ejected; `half-open`: readmitted with a limited rate of trial requests.
 */
export type CircuitState = 'closed' | 'open' | 'half-open';
