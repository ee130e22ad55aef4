/** State of a connection as far as its other end has shown it: open, ended in an orderly way, or reset. */
export type ConnectionState = 'open' | 'closed' | 'reset';
