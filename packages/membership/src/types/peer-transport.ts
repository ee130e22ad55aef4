import type { ProbeMessage } from './probe-message.ts';
import type { ProbeReply } from './probe-reply.ts';

/** Sends probes to other nodes. A rejected promise or a missed timeout counts as a failed probe. */
export interface PeerTransport {
  /** Sends `message` to `address` and resolves with the reply; rejects after `timeoutMs`. */
  probe(address: string, message: ProbeMessage, timeoutMs: number): Promise<ProbeReply>;
  /** Asks the node at `relay` to send `message` to `target` and return the reply; rejects after `timeoutMs`. */
  probeThrough(
    relay: string,
    target: string,
    message: ProbeMessage,
    timeoutMs: number,
  ): Promise<ProbeReply>;
}
