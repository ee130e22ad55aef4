/** What marks the end of a response's body: its length, the last chunk, or the end of the connection. */
export type ResponseFraming = 'length' | 'chunked' | 'connection';
