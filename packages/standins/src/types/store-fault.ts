/**
 * How the store handles calls: `busy` answers 503, `many` answers 429, `reset` resets the connection, `silent`
 * never answers, `lost` stores appends and closes the connection without a reply.
 */
export type StoreFault = 'none' | 'busy' | 'many' | 'reset' | 'silent' | 'lost';
