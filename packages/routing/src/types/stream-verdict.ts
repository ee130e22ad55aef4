/** `wait`: progress is as expected; `probe`: check the endpoint on a fresh connection. */
export type StreamVerdict = 'wait' | 'probe';
