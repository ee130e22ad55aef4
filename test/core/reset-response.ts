import type { Socket } from 'node:net';

/** Time after which a reset does not overtake the data before it, in milliseconds. */
const RESET_DELAY_MS = 20;

/** Answers with a body without length that looks whole, and resets the connection. */
export function resetResponse(
  body: string,
  { status = '200 OK', fields = '' }: { readonly status?: string; readonly fields?: string } = {},
): (socket: Socket) => void {
  return (socket) => {
    socket.write(`HTTP/1.1 ${status}\r\n${fields}\r\n${body}`, () => {
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  };
}
