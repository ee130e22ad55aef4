import { PassThrough } from 'node:stream';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import { Gateway } from '@ragwortrudder/gateway';
import {
  PlatformCatalogCodec,
  PlatformDialect,
  PlatformHttpClient,
  PlatformLog,
} from '@ragwortrudder/platform-adapter';
import { processHost } from '@ragwortrudder/standins';

const SAMPLE_MS = 10;
const [, , storeAddress = ''] = process.argv;
const address = { host: '127.0.0.1', port: 0 };
const gateway = new Gateway({
  settings: {
    node: { id: 'n1', host: processHost(), failureDomain: 'a' },
    listen: { callers: address, readiness: address, metrics: address, peerPort: 0 },
    graceMs: 1_000,
    retries: { ratio: 0.2, slack: 600, windowMs: 10_000 },
    quotas: { overage: 0, slack: 0 },
    duties: {
      reportsUsage: false,
      ordersRunners: false,
      leaseMs: 3_000,
      usageWindowMs: 5_000,
      usageLateMs: 10_000,
    },
  },
  log: new PlatformLog(new PlatformHttpClient(storeAddress)),
  codec: new PlatformCatalogCodec(),
  dialect: new PlatformDialect(),
  cloud: undefined,
  clock: new SystemClock(),
  random: new SeededRandom(7),
  out: new PassThrough().resume(),
});
await gateway.start();
process.stdout.write(`${JSON.stringify(gateway.ports)}\n`);
let before = 0;
let peak = 0;
setInterval(() => {
  peak = Math.max(peak, process.memoryUsage().rss);
}, SAMPLE_MS);
// The first line on stdin starts the measurement, its end ends it.
process.stdin.once('data', () => {
  before = process.memoryUsage().rss;
  peak = before;
});
process.stdin.once('end', () => {
  const { user, system } = process.cpuUsage();
  const report = { growthBytes: peak - before, cpuMs: (user + system) / 1_000 };
  process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
});
