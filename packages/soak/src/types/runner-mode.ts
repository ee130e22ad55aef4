/**
 * How a runner handles requests: it serves them (`sound`, or `unframed` without a length and chunks)
 * or fails in a particular way. `cut` and `reset` break unframed streams off inside an event, with an
 * orderly close and with a reset.
 */
export type RunnerMode = 'sound' | 'unframed' | 'errors' | 'mute' | 'break-off' | 'cut' | 'reset';
