import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryNetwork, Membership, SoftState } from '@ragwortrudder/membership';
import type { MembershipEvent } from '@ragwortrudder/membership';

const PERIOD_MS = 1000;

function isNumber(value: unknown): value is number {
  return typeof value === 'number';
}

/** In-process cluster of nodes on a manual clock. */
export class Cluster {
  readonly clock = new ManualClock(1_000_000);
  readonly network = new MemoryNetwork();
  readonly nodes = new Map<string, Membership<number>>();
  readonly reports = new Map<string, SoftState<number>>();
  readonly events: { readonly node: string; readonly event: MembershipEvent }[] = [];
  readonly paused = new Set<string>();
  readonly #seed: number;

  constructor(seed: number, domainSizes: readonly number[]) {
    this.#seed = seed;
    for (const [domain, size] of domainSizes.entries()) {
      for (let index = 0; index < size; index += 1)
        this.start(`n${domain}-${index}`, `fd${domain}`);
    }
  }

  start(nodeId: string, failureDomain: string): Membership<number> {
    const incarnation = this.clock.wall();
    const reports = new SoftState<number>({
      origin: { nodeId, number: incarnation },
      isValid: isNumber,
    });
    const node = new Membership({
      self: {
        nodeId,
        incarnation,
        failureDomain,
        region: 'r',
        peerAddress: nodeId,
        callerAddress: nodeId,
      },
      clock: this.clock,
      random: new SeededRandom(this.#seed * 1000 + this.nodes.size),
      transport: this.network.transport(nodeId),
      reports,
      seeds: () => ['n0-0', 'n1-0'],
    });
    node.subscribe((event) => this.events.push({ node: nodeId, event }));
    this.nodes.set(nodeId, node);
    this.reports.set(nodeId, reports);
    this.network.add(nodeId, node as Membership<unknown>);
    return node;
  }

  node(nodeId: string): Membership<number> {
    const node = this.nodes.get(nodeId);
    if (!node) throw new RangeError(nodeId);
    return node;
  }

  kill(nodeId: string): void {
    this.network.remove(nodeId);
    this.nodes.delete(nodeId);
  }

  /** Partitions the nodes into those selected by `isInside` and the rest. */
  cut(isInside: (nodeId: string) => boolean): void {
    for (const a of this.nodes.keys()) {
      for (const b of this.nodes.keys())
        if (isInside(a) !== isInside(b)) this.network.dropLink(a, b);
    }
  }

  async run(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      for (const [nodeId, node] of this.nodes) if (!this.paused.has(nodeId)) await node.tick();
      this.clock.advance(PERIOD_MS);
    }
  }

  /** Returns the distinct states that the running nodes have for `nodeId`. */
  statesOf(nodeId: string): readonly string[] {
    const states = [...this.nodes].map(([, node]) => {
      const member = node.members.find((item) => item.nodeId === nodeId);
      return member?.state ?? 'unknown';
    });
    return [...new Set(states)];
  }

  count(kind: MembershipEvent['kind']): number {
    return this.events.filter(({ event }) => event.kind === kind).length;
  }
}
