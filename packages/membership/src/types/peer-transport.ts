import type { ProbeMessage } from './probe-message.ts';
import type { ProbeReply } from './probe-reply.ts';

/** Carries probes to other nodes. A promise that rejects, or no reply in time, means no contact. */
export interface PeerTransport {
  /** Sends `message` to `address`; rejects after `timeoutMs`. */
  probe(address: string, message: ProbeMessage, timeoutMs: number): Promise<ProbeReply>;
  /** Asks the node at `via` to send `message` to `target` and to return the reply; rejects after `timeoutMs`. */
  probeThrough(
    via: string,
    target: string,
    message: ProbeMessage,
    timeoutMs: number,
  ): Promise<ProbeReply>;
}
