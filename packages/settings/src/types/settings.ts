import { z } from 'zod';

const MINUTE_MS = 60_000;

interface Range {
  readonly min: number;
  readonly max: number;
  readonly fallback: number;
  readonly doc: string;
}

function ms(options: Range) {
  return z
    .number()
    .int()
    .min(options.min)
    .max(options.max)
    .default(options.fallback)
    .describe(`${options.doc} Unit: ms.`);
}

function count(options: Range) {
  return z
    .number()
    .int()
    .min(options.min)
    .max(options.max)
    .default(options.fallback)
    .describe(options.doc);
}

function share(options: Range) {
  return z
    .number()
    .min(options.min)
    .max(options.max)
    .default(options.fallback)
    .describe(options.doc);
}

const name = z.string().regex(/^[\w-]{1,64}$/, 'allowed: 1 to 64 letters, digits, "-" and "_"');
const hostAndPort = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/, 'allowed: IP number and port, as in 10.0.0.1:7000');
const key = z.string().min(16, 'allowed: at least 16 characters').max(256);

const Listen = z
  .strictObject({
    host: z.string().default('127.0.0.1').describe('IP number to listen on.'),
    port: z.number().int().min(0).max(65_535).describe('Port to listen on; 0 takes a free one.'),
  })
  .readonly();

const NodeIdentity = z
  .strictObject({
    id: name.describe('Unique name of this node.'),
    vmId: z
      .string()
      .min(1)
      .optional()
      .describe('Name of the VM at the platform; the name of the node when left out.'),
    failureDomain: name.describe('Failure domain of the VM.'),
    region: name.default('default').describe('Region of the failure domain.'),
  })
  .readonly();

const Keys = z
  .strictObject({
    peer: key.describe('Key that nodes show to each other.'),
    operators: z
      .array(z.strictObject({ name, key }).readonly())
      .readonly()
      .describe('Operators and their keys.'),
    tenants: z
      .array(z.strictObject({ tenant: name, key }).readonly())
      .readonly()
      .describe('Tenants and their keys.'),
  })
  .readonly();

const Limits = z
  .strictObject({
    bodyBytes: count({
      min: 1024,
      max: 16_777_216,
      fallback: 1_048_576,
      doc: 'Largest request body. Unit: bytes.',
    }),
    headerBytes: count({
      min: 1024,
      max: 65_536,
      fallback: 16_384,
      doc: 'Largest request header. Unit: bytes.',
    }),
    connections: count({
      min: 8,
      max: 100_000,
      fallback: 4096,
      doc: 'Open connections of callers.',
    }),
    headerTimeoutMs: ms({
      min: 100,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time for a caller to send the headers.',
    }),
    bodyTimeoutMs: ms({
      min: 100,
      max: 5 * MINUTE_MS,
      fallback: 10_000,
      doc: 'Time for a caller to send the body.',
    }),
  })
  .readonly();

const Requests = z
  .strictObject({
    deadlineMs: ms({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 60_000,
      doc: 'Deadline of a request that names none.',
    }),
    maxDeadlineMs: ms({
      min: 100,
      max: 24 * 60 * MINUTE_MS,
      fallback: 60 * MINUTE_MS,
      doc: 'Longest deadline a request may name.',
    }),
    retentionMs: ms({
      min: 1000,
      max: 60 * MINUTE_MS,
      fallback: 2 * MINUTE_MS,
      doc: 'Time for which a finished answer can be read again.',
    }),
    replicaTimeoutMs: ms({
      min: 50,
      max: 10_000,
      fallback: 500,
      doc: 'Time for a replica to confirm an update before another peer is taken.',
    }),
    heartbeatMs: ms({
      min: 500,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Period of comment lines on a quiet stream of events.',
    }),
    runnerConnectMs: ms({
      min: 50,
      max: 10_000,
      fallback: 1000,
      doc: 'Time to connect to a runner.',
    }),
    operationTimeoutMs: ms({
      min: 100,
      max: 10 * MINUTE_MS,
      fallback: 10_000,
      doc: 'Longest call of an application runner.',
    }),
    maxAttempts: count({
      min: 1,
      max: 100,
      fallback: 8,
      doc: 'Attempts at one idempotent request, the first included.',
    }),
    retryShare: share({
      min: 0,
      max: 1,
      fallback: 0.1,
      doc: 'Retries as a share of first attempts, for each service and class.',
    }),
  })
  .readonly();

const Admission = z
  .strictObject({
    maxQueued: count({
      min: 1,
      max: 100_000,
      fallback: 512,
      doc: 'Requests waiting in the queue of one service.',
    }),
    tenantQueued: count({
      min: 1,
      max: 100_000,
      fallback: 128,
      doc: 'Requests waiting for one tenant in one service.',
    }),
    interactiveWeight: share({
      min: 0.01,
      max: 100,
      fallback: 4,
      doc: 'Weight of class interactive against batch.',
    }),
    runnerLimit: count({
      min: 1,
      max: 10_000,
      fallback: 8,
      doc: 'Concurrent requests that this node first sends to one runner.',
    }),
  })
  .readonly();

const Membership = z
  .strictObject({
    probePeriodMs: ms({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Period of probes to peers.',
    }),
    probeTimeoutMs: ms({
      min: 20,
      max: 10_000,
      fallback: 300,
      doc: 'Time for a peer to answer a probe.',
    }),
    suspicionMs: ms({
      min: 100,
      max: 10 * MINUTE_MS,
      fallback: 3000,
      doc: 'Time for which a silent peer is suspected before it is declared dead.',
    }),
  })
  .readonly();

const Log = z
  .strictObject({
    pollWaitMs: ms({
      min: 0,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Time for which a read of the log waits for new records.',
    }),
    appendTimeoutMs: ms({
      min: 100,
      max: MINUTE_MS,
      fallback: 2000,
      doc: 'Time for an append to be read back before it is given up.',
    }),
    snapshotEvery: count({
      min: 10,
      max: 1_000_000,
      fallback: 500,
      doc: 'Records after which a new snapshot is appended.',
    }),
    snapshotAgeMs: ms({
      min: 1000,
      max: 24 * 60 * MINUTE_MS,
      fallback: 10 * MINUTE_MS,
      doc: 'Age after which a new snapshot is appended; well below retention.',
    }),
  })
  .readonly();

const Runners = z
  .strictObject({
    directoryPeriodMs: ms({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Period of reading the list of VMs.',
    }),
    noticePeriodMs: ms({
      min: 50,
      max: MINUTE_MS,
      fallback: 500,
      doc: 'Period of reading reclaim notices.',
    }),
    loadPeriodMs: ms({
      min: 20,
      max: MINUTE_MS,
      fallback: 250,
      doc: 'Period of reading the load of a runner.',
    }),
    cachePeriodMs: ms({
      min: 50,
      max: MINUTE_MS,
      fallback: 1000,
      doc: 'Period of reading the cache events of a runner.',
    }),
    subsetSize: count({
      min: 2,
      max: 1000,
      fallback: 24,
      doc: 'Runners of one service that this node sends to.',
    }),
    policy: z
      .enum(['estimate', 'round-robin', 'least-loaded', 'prefix-hash'])
      .default('estimate')
      .describe('How a model engine is chosen.'),
  })
  .readonly();

const Shutdown = z
  .strictObject({
    graceMs: ms({
      min: 0,
      max: 60 * MINUTE_MS,
      fallback: 20_000,
      doc: 'Time from SIGTERM until the node closes.',
    }),
    handOverMs: ms({
      min: 0,
      max: 60 * MINUTE_MS,
      fallback: 8000,
      doc: 'Time before the end of the grace period at which unfinished requests are given to peers.',
    }),
  })
  .readonly();

/** Settings of one node. */
export const Settings = z
  .strictObject({
    node: NodeIdentity,
    listen: z.strictObject({ callers: Listen, peers: Listen }).readonly(),
    advertise: z
      .strictObject({
        callers: hostAndPort.describe('Address at which callers reach this node.'),
        peers: hostAndPort.describe('Address at which peers reach this node.'),
      })
      .readonly(),
    platform: z
      .strictObject({ url: z.url().describe('Base address of the platform by IP number.') })
      .readonly(),
    seeds: z.array(hostAndPort).readonly().default([]).describe('Peer addresses to join through.'),
    keys: Keys,
    limits: Limits.prefault({}),
    requests: Requests.prefault({}),
    admission: Admission.prefault({}),
    membership: Membership.prefault({}),
    log: Log.prefault({}),
    runners: Runners.prefault({}),
    shutdown: Shutdown.prefault({}),
  })
  .readonly();
export type Settings = z.infer<typeof Settings>;
