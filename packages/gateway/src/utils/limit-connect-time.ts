import type { Socket } from 'node:net';
import { ConnectTimedOut } from '../errors/connect-timed-out.ts';

/**
 * Destroys a socket that is not connected in time. After a stall of the process, a connection that was
 * opened meanwhile is noticed first.
 */
export function limitConnectTime(socket: Socket, timeoutMs: number): void {
  const timer = setTimeout(() => {
    setImmediate(() => {
      if (socket.connecting) socket.destroy(new ConnectTimedOut());
    });
  }, timeoutMs);
  const stop = (): void => {
    clearTimeout(timer);
  };
  socket.once('connect', stop);
  socket.once('close', stop);
}
