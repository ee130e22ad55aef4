/** Measures the message rate, report ages and failure detection time of the membership protocol. */
import { parseArgs } from 'node:util';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MemoryNetwork, Membership, SoftState } from '@ragwortrudder/membership';

const PERIOD_MS = 1000;
const SETTLE_SECONDS = 300;
const MEASURED_SECONDS = 60;
const MAX_DETECTION_SECONDS = 120;
const NODES_PER_DOMAIN = 55;
const MIN_DOMAINS = 3;
const REPORT_PERIOD_SECONDS = 5;
const SIZES = [3, 9, 30, 60, 120, 330];

interface Report {
  readonly publishedAt: number;
  readonly ticketOffset: number;
  readonly ticketHash: string;
  readonly load: readonly number[];
}

interface SimulatedNode {
  readonly membership: Membership<Report>;
  readonly reports: SoftState<Report>;
}

function isReport(value: unknown): value is Report {
  return typeof value === 'object' && value !== null && 'publishedAt' in value;
}

/** Simulates the membership of many nodes in one process with a manual clock. */
class SimulatedFleet {
  readonly network = new MemoryNetwork();
  readonly #clock = new ManualClock(1_764_000_000_000);
  readonly #nodes = new Map<string, SimulatedNode>();
  readonly #seed: number;

  constructor(size: number, seed: number) {
    this.#seed = seed;
    const domains = Math.max(MIN_DOMAINS, Math.ceil(size / NODES_PER_DOMAIN));
    for (let index = 0; index < size; index += 1) this.#start(index, index % domains);
  }

  /**
   * Advances the clock by `seconds`; each node publishes a report every 5 s, staggered by its
   * index.
   */
  async run(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      for (const [index, node] of [...this.#nodes.values()].entries()) {
        if ((this.#elapsedSeconds() + index) % REPORT_PERIOD_SECONDS === 0) this.#publish(node);
        await node.membership.tick();
      }
      this.#clock.advance(PERIOD_MS);
    }
  }

  /**
   * Returns the ages in seconds of the reports that nodes hold about peers in their own domain, or
   * in other domains.
   */
  reportAges(inSameDomain: boolean): readonly number[] {
    return [...this.#nodes.values()].flatMap(({ membership, reports }) => {
      const { self, members } = membership;
      return members
        .filter(({ nodeId }) => nodeId !== self.nodeId)
        .filter((member) => (member.failureDomain === self.failureDomain) === inSameDomain)
        .map(({ nodeId }) => this.#ageOf(reports, nodeId));
    });
  }

  /**
   * Kills one node and returns the seconds until the first and the last remaining node consider it
   * dead.
   */
  async failureDetectionSeconds(): Promise<{ readonly first: number; readonly last: number }> {
    const failedNodeId = 'entry-0';
    const address = this.#nodes.get(failedNodeId)?.membership.self.peerAddress ?? '';
    this.#nodes.delete(failedNodeId);
    this.network.remove(address);
    let first = 0;
    for (let second = 1; second <= MAX_DETECTION_SECONDS; second += 1) {
      await this.run(1);
      const informedNodes = this.#countNodesAwareOf(failedNodeId);
      if (first === 0 && informedNodes > 0) first = second;
      if (informedNodes === this.#nodes.size) return { first, last: second };
    }
    return { first, last: Number.POSITIVE_INFINITY };
  }

  #countNodesAwareOf(failedNodeId: string): number {
    const informedNodes = [...this.#nodes.values()].filter(({ membership }) =>
      membership.members.some(({ nodeId, state }) => nodeId === failedNodeId && state === 'dead'),
    );
    return informedNodes.length;
  }

  #elapsedSeconds(): number {
    return Math.floor(this.#clock.monotonic() / PERIOD_MS);
  }

  #ageOf(reports: SoftState<Report>, nodeId: string): number {
    const publishedAt = reports.get(nodeId)?.value.publishedAt;
    if (publishedAt === undefined) return Number.POSITIVE_INFINITY;
    return (this.#clock.wall() - publishedAt) / PERIOD_MS;
  }

  #publish({ reports }: SimulatedNode): void {
    reports.publish({
      publishedAt: this.#clock.wall(),
      ticketOffset: 123_456,
      ticketHash: 'c2b7a9d04f1e6638',
      load: [17, 4, 0.62, 250],
    });
  }

  #start(index: number, domain: number): void {
    const nodeId = `entry-${index}`;
    const address = `10.${domain}.0.${index}:7400`;
    const incarnation = this.#clock.wall();
    const reports = new SoftState<Report>({
      origin: { nodeId, number: incarnation },
      isValid: isReport,
    });
    const membership = new Membership<Report>({
      self: {
        nodeId,
        incarnation,
        failureDomain: `zone-${domain}`,
        region: domain < MIN_DOMAINS ? 'north' : 'south',
        peerAddress: address,
        callerAddress: `10.${domain}.0.${index}:8080`,
      },
      clock: this.#clock,
      random: new SeededRandom(this.#seed * 1000 + index),
      transport: this.network.transport(address),
      reports,
      seeds: () => ['10.0.0.0:7400', '10.1.0.1:7400', '10.2.0.2:7400'],
    });
    this.#nodes.set(nodeId, { membership, reports });
    this.network.add(address, membership as Membership<unknown>);
  }
}

function percentile(values: readonly number[], fraction: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
  return value === undefined ? '-' : value.toFixed(0);
}

async function measure(size: number, seed: number): Promise<string> {
  const fleet = new SimulatedFleet(size, seed);
  await fleet.run(SETTLE_SECONDS);
  const { messages, bytes } = fleet.network;
  await fleet.run(MEASURED_SECONDS);
  const nodeSeconds = size * MEASURED_SECONDS;
  const messageRate = (fleet.network.messages - messages) / nodeSeconds;
  const byteRate = (fleet.network.bytes - bytes) / nodeSeconds;
  const ownDomainAges = fleet.reportAges(true);
  const otherDomainAges = fleet.reportAges(false);
  const { first, last } = await fleet.failureDetectionSeconds();
  const cells = [
    String(size),
    messageRate.toFixed(2),
    byteRate.toFixed(0),
    `${percentile(ownDomainAges, 0.5)} / ${percentile(ownDomainAges, 0.99)}`,
    `${percentile(otherDomainAges, 0.5)} / ${percentile(otherDomainAges, 0.99)}`,
    `${first} / ${last}`,
  ];
  return `| ${cells.join(' | ')} |\n`;
}

const HEADINGS = [
  'nodes',
  'messages/s/node',
  'bytes/s/node',
  'report age, own domain, p50/p99 s',
  'report age, other domains, p50/p99 s',
  'death known to first/last, s',
];

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } });
process.stdout.write(`| ${HEADINGS.join(' | ')} |\n|${' --- |'.repeat(HEADINGS.length)}\n`);
for (const size of SIZES) process.stdout.write(await measure(size, Number(values.seed)));
