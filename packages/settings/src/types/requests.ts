import * as z from 'zod';
import { durationSetting } from '../utils/duration-setting.ts';
import { integerSetting } from '../utils/integer-setting.ts';
import { numberSetting } from '../utils/number-setting.ts';

const MINUTE_MS = 60_000;

/** Deadlines, retries and retention of requests. */
export const Requests = z
  .strictObject({
    deadlineMs: durationSetting({
      min: 100,
      max: 60 * MINUTE_MS,
      fallback: 60_000,
      doc: 'Default deadline of a request that does not specify one.',
    }),
    maxDeadlineMs: durationSetting({
      min: 100,
      max: 24 * 60 * MINUTE_MS,
      fallback: 60 * MINUTE_MS,
      doc: 'Maximum deadline that a request may specify.',
    }),
    retentionMs: durationSetting({
      min: 1000,
      max: 60 * MINUTE_MS,
      fallback: 2 * MINUTE_MS,
      doc: 'Time for which a finished answer is retained and can be read again.',
    }),
    replicaTimeoutMs: durationSetting({
      min: 50,
      max: 10_000,
      fallback: 500,
      doc: 'Timeout for a replica to confirm an update before another peer is chosen.',
    }),
    heartbeatMs: durationSetting({
      min: 500,
      max: MINUTE_MS,
      fallback: 5000,
      doc: 'Interval between comment lines that keep an idle event stream alive.',
    }),
    runnerConnectMs: durationSetting({
      min: 50,
      max: 10_000,
      fallback: 1000,
      doc: 'Timeout for connecting to a runner.',
    }),
    operationTimeoutMs: durationSetting({
      min: 100,
      max: 10 * MINUTE_MS,
      fallback: 10_000,
      doc: 'Timeout for a call of an application runner.',
    }),
    maxAttempts: integerSetting({
      min: 1,
      max: 100,
      fallback: 8,
      doc: 'Maximum number of attempts for one idempotent request, including the first.',
    }),
    retryShare: numberSetting({
      min: 0,
      max: 1,
      fallback: 0.1,
      doc: 'Maximum ratio of retries to first attempts, for each service and class.',
    }),
  })
  .readonly();
export type Requests = z.infer<typeof Requests>;
