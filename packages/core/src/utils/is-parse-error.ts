/** Prefix of the codes with which the HTTP parser of Node.js refuses what it reads. */
const PARSER_PREFIX = 'HPE_';
/** The connection ended inside a message. */
const ENDED_INSIDE = 'HPE_INVALID_EOF_STATE';

/** Whether a connection was given up because of what was received on it, and not lost. */
export function isParseError({ code = '' }: NodeJS.ErrnoException): boolean {
  return code.startsWith(PARSER_PREFIX) && code !== ENDED_INSIDE;
}
