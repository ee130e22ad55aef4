import { NoContact } from '../errors/no-contact.ts';
import type { PeerTransport } from '../types/peer-transport.ts';
import type { ProbeMessage } from '../types/probe-message.ts';
import type { ProbeReply } from '../types/probe-reply.ts';
import type { Membership } from './membership.ts';

/** In-memory network that connects the memberships of one process and counts their traffic, for tests and benchmarks. */
export class MemoryNetwork {
  readonly #nodes = new Map<string, Membership<unknown>>();
  readonly #blockedLinks = new Set<string>();
  #messages = 0;
  #bytes = 0;

  /** Number of messages sent, including replies. */
  get messages(): number {
    return this.#messages;
  }

  /** Total size of the sent messages as JSON. */
  get bytes(): number {
    return this.#bytes;
  }

  add(address: string, node: Membership<unknown>): void {
    this.#nodes.set(address, node);
  }

  remove(address: string): void {
    this.#nodes.delete(address);
  }

  /** Drops all further messages from `from` to `to`; the opposite direction is not affected. */
  dropLink(from: string, to: string): void {
    this.#blockedLinks.add(`${from} ${to}`);
  }

  /** Restores all links. */
  restoreLinks(): void {
    this.#blockedLinks.clear();
  }

  /** Returns the transport of the node at `address`. */
  transport(address: string): PeerTransport {
    return {
      probe: (to, message) => this.#probe(address, to, message),
      probeThrough: async (relay, target, message) => {
        const node = this.#deliver(address, relay, message);
        const reply = await node.handleIndirectProbe({ target, message });
        return this.#returnReply(relay, address, reply);
      },
    };
  }

  async #probe(from: string, to: string, message: ProbeMessage): Promise<ProbeReply> {
    await Promise.resolve();
    const node = this.#deliver(from, to, message);
    return this.#returnReply(to, from, node.handleProbe(message));
  }

  #deliver(from: string, to: string, message: ProbeMessage): Membership<unknown> {
    this.#count(message);
    const node = this.#nodes.get(to);
    if (!node || this.#blockedLinks.has(`${from} ${to}`)) throw new NoContact(to);
    return node;
  }

  #returnReply(from: string, to: string, reply: ProbeReply): ProbeReply {
    this.#count(reply);
    if (this.#blockedLinks.has(`${from} ${to}`)) throw new NoContact(from);
    return reply;
  }

  #count(message: unknown): void {
    this.#messages += 1;
    this.#bytes += JSON.stringify(message).length;
  }
}
