/** What a runner does with requests: serves them, or fails in one way. */
export type RunnerMode = 'sound' | 'errors' | 'mute' | 'break-off';
