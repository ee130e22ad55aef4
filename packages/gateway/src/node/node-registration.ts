import type { Address } from '@ragwortrudder/catalog';
import type { KeyedLog } from '@ragwortrudder/log';
import { PeerEntry } from '../types/peer-entry.ts';
import { decodeJson } from '../utils/decode-json.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';

interface NodeRegistrationOptions {
  readonly log: KeyedLog;
  readonly decisions: DecisionLog;
  readonly node: string;
  readonly address: Address;
  readonly failureDomain: string;
  readonly incarnation: number;
  readonly peers: Pick<Peers, 'addPeer' | 'publishReport'>;
}

const NODE_TOPIC = 'nodes';

/** Entry of this node in the topic of nodes, where nodes find each other. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions;
  /** Era of the log in which this node is in the topic of nodes. */
  #registeredEra: number | undefined;

  constructor(options: NodeRegistrationOptions) {
    this.#options = options;
  }

  /** This node has been registered, and knows the entries of the others. */
  get isRegistered(): boolean {
    return this.#registeredEra !== undefined;
  }

  /** Registers this node, again after a restore, and reads the entries of the others. */
  async register(): Promise<void> {
    const { log, node, address, failureDomain, incarnation } = this.#options;
    if (this.#registeredEra === log.era) return;
    const entry: PeerEntry = { ...address, failureDomain, life: incarnation };
    const value = Buffer.from(JSON.stringify(entry));
    await log.append({ topic: NODE_TOPIC, key: node, value });
    const { records, era } = await log.newest(NODE_TOPIC);
    let isListed = false;
    for (const { key, value: bytes } of records) {
      if (key === node) isListed ||= bytes !== undefined && value.equals(bytes);
      else this.#addPeer(key, bytes);
    }
    // A restore in between may have taken the entry back.
    if (!isListed) return;
    this.#registeredEra = era;
    await this.#options.peers.publishReport();
  }

  #addPeer(id: string, bytes: Uint8Array | undefined): void {
    const { peers, decisions } = this.#options;
    const { data: peer, error } = PeerEntry.safeParse(decodeJson(bytes));
    if (peer) peers.addPeer(id, { host: peer.host, port: peer.port }, peer.failureDomain);
    else decisions.rejected({ topic: NODE_TOPIC, key: id, cause: schemaProblem(error) });
  }

  async deregister(): Promise<void> {
    if (this.#registeredEra === undefined) return;
    await this.#options.log.append({ topic: NODE_TOPIC, key: this.#options.node });
  }
}
