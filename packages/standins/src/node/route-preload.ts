/** Preloaded into the entry nodes of a fleet: redirects their connections to the relay addresses in STANDINS_ROUTES. */
import { Socket } from 'node:net';
import { endWithParent } from './end-with-parent.ts';

interface Destination {
  readonly host?: string | undefined;
  readonly port?: number | string | undefined;
}

const routes = new Map(
  Object.entries(JSON.parse(process.env.STANDINS_ROUTES ?? '{}') as Record<string, string>),
);

function reroute(destination: Destination): Destination {
  const { host = 'localhost', port = 0 } = destination;
  const relayAddress = routes.get(`${host}:${port}`);
  if (relayAddress === undefined) return destination;
  return { ...destination, host: '127.0.0.1', port: Number(relayAddress.split(':')[1]) };
}

function rerouteArguments(args: readonly unknown[]): readonly unknown[] {
  const [first, ...rest] = args;
  if (Array.isArray(first)) {
    const normalized = first as unknown[];
    normalized[0] = reroute(normalized[0] as Destination);
    return [normalized, ...rest];
  }
  if (typeof first !== 'object' || first === null) return args;
  return [reroute(first), ...rest];
}

const originalConnect = Reflect.get(Socket.prototype, 'connect') as (
  this: Socket,
  ...args: readonly unknown[]
) => Socket;

function connectThroughRoute(this: Socket, ...args: readonly unknown[]): Socket {
  return Reflect.apply(originalConnect, this, rerouteArguments(args));
}

Reflect.set(Socket.prototype, 'connect', connectThroughRoute);
endWithParent();
