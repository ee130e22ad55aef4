import type { Address } from '@ragwortrudder/catalog';
import type { Clock } from '@ragwortrudder/core';
import type { ConfigurationPart } from '../types/configuration-part.ts';
import type { ConfigurationRequest } from '../types/configuration-request.ts';
import { ConfigurationAssembler } from '../utils/configuration-assembler.ts';
import { splitConfiguration } from '../utils/split-configuration.ts';
import type { CatalogFollower } from './catalog-follower.ts';
import type { DecisionLog } from './decision-log.ts';
import type { Peers } from './peers.ts';

interface ConfigurationSyncOptions {
  readonly node: string;
  readonly address: Address;
  readonly clock: Clock;
  readonly catalog: Pick<CatalogFollower, 'version' | 'record' | 'applyPeerConfiguration'>;
  readonly peers: Pick<Peers, 'requestConfiguration' | 'sendConfiguration'>;
  readonly log: DecisionLog;
}

/** The last peer that was heard to follow a newer configuration. */
interface NewerPeer {
  readonly version: number;
  readonly address: Address;
  /** When this node was first behind, with `ownVersion`. */
  readonly since: number;
  readonly ownVersion: number;
}

/** Time for which a node waits for its own read of a newer configuration, in milliseconds. */
const OWN_READ_MS = 500;
/** Time after which a request that brought no configuration is repeated, in milliseconds. */
const REPEAT_MS = 300;

/** Gets a newer configuration from a peer where this node cannot read it from the log itself. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  readonly #assembler = new ConfigurationAssembler();
  #newerPeer: NewerPeer | undefined;
  #requestedAt = -Infinity;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** A peer follows a newer configuration. */
  get isBehind(): boolean {
    return (this.#newerPeer?.version ?? 0) > this.#options.catalog.version;
  }

  /** Records the version that a peer follows. */
  recordPeerVersion(version: number, address: Address): void {
    const { catalog, clock } = this.#options;
    const known = this.#newerPeer;
    if (version <= catalog.version || version < (known?.version ?? 0)) return;
    const isStillBehind = known?.ownVersion === catalog.version;
    const since = isStillBehind ? known.since : clock.monotonic();
    this.#newerPeer = { version, address, since, ownVersion: catalog.version };
  }

  /** Asks for the newest version that a peer has, once this node should have read it. */
  update(): void {
    const { catalog, peers, address, clock, log } = this.#options;
    if (!this.#newerPeer) return;
    if (this.#newerPeer.version <= catalog.version) {
      this.#newerPeer = undefined;
      return;
    }
    const now = clock.monotonic();
    if (now - this.#newerPeer.since < OWN_READ_MS || now - this.#requestedAt < REPEAT_MS) return;
    this.#requestedAt = now;
    const request = { ...address, after: catalog.version };
    peers
      .requestConfiguration(request, this.#newerPeer.address)
      .catch(log.onTaskFailure('configuration of a peer'));
  }

  /** Sends this node's configuration to a peer that has an older one, in the background. */
  answer(request: ConfigurationRequest): void {
    this.#send(request).catch(this.#options.log.onTaskFailure('configuration for a peer'));
  }

  async #send({ host, port, after }: ConfigurationRequest): Promise<void> {
    const { catalog, peers, node } = this.#options;
    const { version, record } = catalog;
    if (!record || version <= after) return;
    for (const part of splitConfiguration({ node, version, value: record })) {
      await peers.sendConfiguration(part, { host, port });
    }
  }

  /** Takes a part of a peer's configuration. */
  receive(part: ConfigurationPart): void {
    const { catalog, log } = this.#options;
    if (part.version <= catalog.version) return;
    try {
      const value = this.#assembler.add(part);
      if (value) catalog.applyPeerConfiguration(value, part.node);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.notable('configuration-unreadable', { peer: part.node, reason });
    }
  }
}
