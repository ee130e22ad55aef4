/** Length of an id or name that another node has sent or stored, in characters. */
export const MAX_TEXT_LENGTH = 512;
