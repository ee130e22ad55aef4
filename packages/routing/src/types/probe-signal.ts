/** Event that a probe's result sends to the `connection` state machine. */
export type ProbeSignal = 'PROGRESS' | 'PROBE_OK' | 'PROBE_FAIL';
