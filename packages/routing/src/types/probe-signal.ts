/** Event of the `connection` chart that a probe's result leads to. */
export type ProbeSignal = 'PROGRESS' | 'PROBE_OK' | 'PROBE_FAIL';
