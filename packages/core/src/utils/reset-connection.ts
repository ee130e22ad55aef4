import type { Socket } from 'node:net';

/**
 * Closes a connection with a reset. While the end of the connection is being sent, the reset has to wait:
 * Node.js would neither reset nor close it, and the process could not end.
 */
export function resetConnection(socket: Socket): void {
  const isSendingEnd =
    socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
  if (!isSendingEnd) {
    socket.resetAndDestroy();
    return;
  }
  socket.once('finish', () => socket.resetAndDestroy());
}
