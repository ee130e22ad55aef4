import { NoContact } from '../errors/no-contact.ts';
import type { PeerTransport } from '../types/peer-transport.ts';
import type { ProbeMessage } from '../types/probe-message.ts';
import type { ProbeReply } from '../types/probe-reply.ts';
import type { Membership } from './membership.ts';

/** Network in memory that connects memberships of one process and counts what they send; for tests and measurements. */
export class MemoryNetwork {
  readonly #nodes = new Map<string, Membership<unknown>>();
  readonly #cuts = new Set<string>();
  #messages = 0;
  #bytes = 0;

  /** Messages sent since the start, replies included. */
  get messages(): number {
    return this.#messages;
  }

  /** Size of these messages as JSON. */
  get bytes(): number {
    return this.#bytes;
  }

  add(address: string, node: Membership<unknown>): void {
    this.#nodes.set(address, node);
  }

  remove(address: string): void {
    this.#nodes.delete(address);
  }

  /** Drops messages from `from` to `to` from now on; the other direction still works. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Ends every cut. */
  heal(): void {
    this.#cuts.clear();
  }

  /** Transport of the node at `address`. */
  transport(address: string): PeerTransport {
    return {
      probe: (to, message) => this.#probe(address, to, message),
      probeThrough: async (via, target, message) => {
        const node = this.#deliver(address, via, message);
        const reply = await node.handleIndirectProbe({ target, message });
        return this.#answer(via, address, reply);
      },
    };
  }

  async #probe(from: string, to: string, message: ProbeMessage): Promise<ProbeReply> {
    await Promise.resolve();
    const node = this.#deliver(from, to, message);
    return this.#answer(to, from, node.handleProbe(message));
  }

  #deliver(from: string, to: string, message: ProbeMessage): Membership<unknown> {
    this.#count(message);
    const node = this.#nodes.get(to);
    if (!node || this.#cuts.has(`${from} ${to}`)) throw new NoContact(to);
    return node;
  }

  #answer(from: string, to: string, reply: ProbeReply): ProbeReply {
    this.#count(reply);
    if (this.#cuts.has(`${from} ${to}`)) throw new NoContact(from);
    return reply;
  }

  #count(message: unknown): void {
    this.#messages += 1;
    this.#bytes += JSON.stringify(message).length;
  }
}
