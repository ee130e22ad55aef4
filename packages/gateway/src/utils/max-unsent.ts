/** Failed connection attempts after which a request opens no further connections. */
export const MAX_UNSENT = 3;
