/** How a runner handles requests: it serves them (`sound`) or fails in a particular way. */
export type RunnerMode = 'sound' | 'errors' | 'mute' | 'break-off';
