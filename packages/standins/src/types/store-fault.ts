/**
 * How the store treats calls: `busy` answers 503, `many` 429, `reset` resets the connection, `silent`
 * never answers, `lost` takes appends without a reply.
 */
export type StoreFault = 'none' | 'busy' | 'many' | 'reset' | 'silent' | 'lost';
