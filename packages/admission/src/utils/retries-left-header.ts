/** Header that carries the retries that outer layers still allow, so that layers do not multiply. */
export const RETRIES_LEFT_HEADER = 'x-retries-left';
