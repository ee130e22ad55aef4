/** What a faulty interface of the platform does with a call. */
export type FaultMode = 'ok' | 'down' | 'slow' | 'reply-lost' | 'hang';
