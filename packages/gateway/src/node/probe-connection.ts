import { Socket } from 'node:net';
import type { Address } from '@ragwortrudder/catalog';
import type { LinkFailure } from '@ragwortrudder/routing';
import { limitConnectTime } from '../utils/limit-connect-time.ts';
import { linkFailureOf } from '../utils/link-failure-of.ts';

/**
 * Opens a connection and closes it at once; settles with the reason when it cannot be opened, also to an
 * address that no connection can have.
 */
export function probeConnection(
  { host, port }: Address,
  timeoutMs: number,
): Promise<LinkFailure | undefined> {
  return new Promise((resolve) => {
    const socket = new Socket();
    limitConnectTime(socket, timeoutMs);
    const settle = (failure: LinkFailure | undefined): void => {
      socket.destroy();
      resolve(failure);
    };
    socket.once('connect', () => {
      settle(undefined);
    });
    socket.once('error', (error) => {
      settle(linkFailureOf(error));
    });
    try {
      socket.connect({ host, port });
    } catch (error) {
      settle(linkFailureOf(error as NodeJS.ErrnoException));
    }
  });
}
