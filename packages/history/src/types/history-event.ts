import * as z from 'zod';

const base = {
  /** Name of the recording process. */
  process: z.string().min(1),
  /** Counts the events of the process from 0. */
  seq: z.number().int().nonnegative(),
  /** Wall-clock time, in milliseconds since the epoch. */
  at: z.number(),
};
const requestId = z.string().min(1);
const index = z.number().int().nonnegative();

/** One recorded event of a concurrent run. */
export const HistoryEvent = z.discriminatedUnion('type', [
  /** A caller sends a request; a retry is an invocation of its own. */
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
  /** A caller receives one event of an answer. */
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
    /** Final word, with `done`, `failed` and `refused`. */
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
    /** Token indices generated, from inclusive to exclusive. */
    tokens: z.strictObject({ from: index, to: index }).optional(),
  }),
  /** A change ticket as seen by one node. */
  z.strictObject({
    type: z.literal('ticket'),
    ...base,
    number: z.number().int().nonnegative(),
    state: z.enum(['submitted', 'accepted', 'refused', 'in-force', 'superseded']),
    node: z.string().optional(),
    failureDomain: z.string().optional(),
    /** What the ticket touches; a later ticket on the same scope supersedes it. */
    scope: z.string().optional(),
  }),
  /** A lease as seen by its holder, and each order made under it. */
  z.strictObject({
    type: z.literal('lease'),
    ...base,
    job: z.string(),
    holder: z.string(),
    fence: z.number().int().nonnegative(),
    state: z.enum(['acquired', 'order', 'stopped', 'released']),
  }),
  /** A reclaim notice for the VM of an endpoint or node. */
  z.strictObject({ type: z.literal('notice'), ...base, vm: z.string(), deadline: z.number() }),
  /** A fault brought about by the test. */
  z.strictObject({
    type: z.literal('fault'),
    ...base,
    fault: z.string(),
    target: z.string(),
    /** Start and end of a fault that lasts. */
    phase: z.enum(['once', 'start', 'end']),
  }),
  /** The badness of a version is shown, or a move gets its final word. */
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
  /** A process ends. */
  z.strictObject({
    type: z.literal('stop'),
    ...base,
    target: z.string(),
    planned: z.boolean(),
    phase: z.enum(['start', 'end']),
  }),
]);
export type HistoryEvent = Readonly<z.infer<typeof HistoryEvent>>;
