import type { ClientRequest, IncomingMessage } from 'node:http';
import type { ConnectionMonitor } from '../node/connection-monitor.ts';
import type { InterimMonitor } from '../node/interim-monitor.ts';

/** A response that is being received, its request, and the monitors of their connection. */
export interface ReceivedResponse {
  readonly request: ClientRequest;
  readonly response: IncomingMessage;
  readonly connection: ConnectionMonitor;
  readonly interim: InterimMonitor;
}
