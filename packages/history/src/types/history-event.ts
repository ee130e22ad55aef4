import * as z from 'zod';

const base = {
  /** Name of the recording process. */
  process: z.string().min(1),
  /** Sequence number of the event within its process, starting at 0. */
  seq: z.number().int().nonnegative(),
  /** Wall-clock time, in milliseconds since the epoch. */
  at: z.number(),
};
const requestId = z.string().min(1);
const index = z.number().int().nonnegative();

/** An event recorded during a run in which several processes act concurrently. */
export const HistoryEvent = z.discriminatedUnion('type', [
  /** A caller sends a request. Each retry is recorded as a separate invocation. */
  z.strictObject({
    type: z.literal('invocation'),
    ...base,
    invocation: z.string().min(1),
    tenant: z.string(),
    service: z.string(),
    key: z.string().optional(),
    prompt: z.string().optional(),
    maxTokens: z.number().int().positive().optional(),
  }),
  /** A caller receives one event of a response stream. */
  z.strictObject({
    type: z.literal('answer'),
    ...base,
    invocation: z.string().min(1),
    requestId: requestId.optional(),
    /** Node that the caller was connected to. */
    node: z.string().optional(),
    event: z.enum(['accepted', 'token', 'result', 'done', 'failed', 'refused', 'cut']),
    epoch: index.optional(),
    number: index.optional(),
    text: z.string().optional(),
    /** Final outcome; set on `done`, `failed` and `refused`. */
    word: z.enum(['completed', 'failed', 'not-run', 'unknown']).optional(),
  }),
  /** A runner executes an operation or generates tokens. */
  z.strictObject({
    type: z.literal('run'),
    ...base,
    runner: z.string().min(1),
    endpoint: z.string().optional(),
    service: z.string(),
    version: z.string().optional(),
    requestId,
    invocation: z.string().optional(),
    tenant: z.string().optional(),
    key: z.string().optional(),
    /** Range of generated token indices; `from` is inclusive, `to` is exclusive. */
    tokens: z.strictObject({ from: index, to: index }).optional(),
  }),
  /** State of a change ticket as observed by one node. */
  z.strictObject({
    type: z.literal('ticket'),
    ...base,
    number: z.number().int().nonnegative(),
    state: z.enum(['submitted', 'accepted', 'refused', 'in-force', 'superseded']),
    node: z.string().optional(),
    failureDomain: z.string().optional(),
    /** Configuration that the ticket changes; a later ticket for the same scope supersedes it. */
    scope: z.string().optional(),
  }),
  /** State of a lease as observed by its holder, and each command issued under it. */
  z.strictObject({
    type: z.literal('lease'),
    ...base,
    job: z.string(),
    holder: z.string(),
    fence: z.number().int().nonnegative(),
    state: z.enum(['acquired', 'order', 'stopped', 'released']),
  }),
  /** A reclaim notice for the VM of an endpoint or a node. */
  z.strictObject({ type: z.literal('notice'), ...base, vm: z.string(), deadline: z.number() }),
  /** A fault injected by the test. */
  z.strictObject({
    type: z.literal('fault'),
    ...base,
    fault: z.string(),
    target: z.string(),
    /** `start` and `end` delimit a lasting fault; `once` marks an instantaneous one. */
    phase: z.enum(['once', 'start', 'end']),
  }),
  /** A version is proven bad (`bad-shown`), or its rollout is decided (`done` or `undone`). */
  z.strictObject({
    type: z.literal('version'),
    ...base,
    service: z.string(),
    version: z.string(),
    state: z.enum(['bad-shown', 'done', 'undone']),
  }),
  /** A process starts. */
  z.strictObject({
    type: z.literal('start'),
    ...base,
    target: z.string(),
    role: z.enum(['node', 'runner', 'other']),
    failureDomain: z.string().optional(),
  }),
  /** A process stops; `start` and `end` mark the beginning and the end of the shutdown. */
  z.strictObject({
    type: z.literal('stop'),
    ...base,
    target: z.string(),
    planned: z.boolean(),
    phase: z.enum(['start', 'end']),
  }),
]);
export type HistoryEvent = Readonly<z.infer<typeof HistoryEvent>>;
