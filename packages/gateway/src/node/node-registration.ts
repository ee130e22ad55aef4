import { AppendConflict } from '@ragwortrudder/log';
import type { KeyedLog, KeyedPage } from '@ragwortrudder/log';
import { PeerEntry } from '../types/peer-entry.ts';
import type { TermView } from '../types/term-view.ts';
import { decodeJson } from '../utils/decode-json.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';

interface NodeRegistrationOptions {
  readonly log: KeyedLog;
  readonly decisions: DecisionLog;
  readonly node: string;
  readonly entry: PeerEntry;
  readonly peers: Pick<Peers, 'addPeer' | 'publishReport'>;
}

const NODE_TOPIC = 'nodes';
/** Attempts at removing the entry while other nodes write to the topic; an entry that stays expires at the peers. */
const MAX_REMOVAL_ATTEMPTS = 4;

/** Entry of this node in the topic of nodes, where nodes find each other. */
export class NodeRegistration {
  readonly #options: NodeRegistrationOptions;
  /** Era of the log in which this node is in the topic of nodes. */
  #registeredEra: number | undefined;
  #mustVerify = false;

  constructor(options: NodeRegistrationOptions) {
    this.#options = options;
  }

  /** This node has been registered, and knows the entries of the others. */
  get isRegistered(): boolean {
    return this.#registeredEra !== undefined;
  }

  /** Makes the next `register` check the entry of this node, and read those of the others again. */
  verify(): void {
    this.#mustVerify = true;
  }

  /** Records a duty holder that no peer tells of: one of both may not be listed. */
  recordUnheard({ holder, entry }: TermView): void {
    this.verify();
    if (holder === undefined || !entry) return;
    const { host, port, failureDomain } = entry;
    this.#options.peers.addPeer(holder, { host, port }, failureDomain);
  }

  /** Registers this node, again after a restore or a removal, and reads the entries of the others. */
  async register(): Promise<void> {
    const { log, decisions, node } = this.#options;
    const isRegistered = this.#registeredEra === log.era;
    if (isRegistered && !this.#mustVerify) return;
    if (!isRegistered) await log.append({ topic: NODE_TOPIC, key: node, value: this.#entryBytes });
    const page = await log.newest(NODE_TOPIC);
    for (const { key, value } of page.records) if (key !== node) this.#addPeer(key, value);
    this.#mustVerify = false;
    if (!this.#isListedIn(page)) {
      // A restore may have taken the entry back, or another writer may have removed it.
      if (isRegistered) decisions.notable('node-entry-lost', { node });
      this.#registeredEra = undefined;
      return;
    }
    this.#registeredEra = page.era;
    await this.#options.peers.publishReport();
  }

  /**
   * Removes the entry of this node unless a later incarnation has replaced it. The removal is done only
   * if nothing was appended since the entry was read: a call without a reply may be done seconds later,
   * when a later incarnation has registered.
   */
  async deregister(): Promise<void> {
    const { log, node } = this.#options;
    if (this.#registeredEra === undefined) return;
    for (let attempt = 1; attempt <= MAX_REMOVAL_ATTEMPTS; attempt += 1) {
      const page = await log.newest(NODE_TOPIC);
      if (!this.#isListedIn(page)) return;
      try {
        await log.append({ topic: NODE_TOPIC, key: node, at: page.next, era: page.era });
        return;
      } catch (error) {
        if (!(error instanceof AppendConflict)) throw error;
      }
    }
  }

  get #entryBytes(): Buffer {
    return Buffer.from(JSON.stringify(this.#options.entry));
  }

  #isListedIn({ records }: KeyedPage): boolean {
    const own = records.find(({ key }) => key === this.#options.node);
    return own?.value !== undefined && this.#entryBytes.equals(own.value);
  }

  #addPeer(id: string, bytes: Uint8Array | undefined): void {
    const { peers, decisions } = this.#options;
    const { data: peer, error } = PeerEntry.safeParse(decodeJson(bytes));
    if (peer) peers.addPeer(id, { host: peer.host, port: peer.port }, peer.failureDomain);
    else decisions.rejected({ topic: NODE_TOPIC, key: id, cause: schemaProblem(error) });
  }
}
