import type { ClientRequest, IncomingMessage } from 'node:http';
import type { ConnectionMonitor } from '../node/connection-monitor.ts';

/** A response that is being received, its request, and the monitor of their connection. */
export interface ReceivedResponse {
  readonly request: ClientRequest;
  readonly response: IncomingMessage;
  readonly connection: ConnectionMonitor;
}
