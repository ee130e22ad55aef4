import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { CallFailure } from '../errors/call-failure.ts';

/** Ends a request whose connection is not open in time. */
export function limitConnectTime(request: ClientRequest, timeoutMs: number): void {
  request.once('socket', (socket: Socket) => {
    if (!socket.connecting) return;
    const timer = setTimeout(() => {
      if (!socket.connecting) return;
      request.destroy(
        new CallFailure({
          reason: 'connect-timeout',
          message: `no connection within ${timeoutMs} ms`,
          notRun: true,
        }),
      );
    }, timeoutMs);
    const stop = (): void => {
      clearTimeout(timer);
    };
    socket.once('connect', stop);
    request.once('close', stop);
  });
}
