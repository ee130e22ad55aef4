import type { Random } from '@ragwortrudder/core';
import type { CacheLookup } from './cache-lookup.ts';
import type { KvExport } from './kv-export.ts';
import type { RoutingRequest } from './routing-request.ts';
import type { RunnerView } from './runner-view.ts';

/** Input of the decision how to finish one request after a reclaim notice. */
export interface ReclaimOptions {
  /** Time until the VM is reclaimed in milliseconds. */
  readonly remainingMs: number;
  /** The request; `blocks` and `promptTokens` include the tokens generated so far. */
  readonly request: RoutingRequest;
  /** Runner with the reclaim notice, on which the request runs. */
  readonly source: RunnerView;
  /** Tokens still expected to be generated. */
  readonly remainingTokens: number;
  /** Runners that could take over the request. */
  readonly candidates: readonly RunnerView[];
  readonly random: Random;
  readonly cache?: CacheLookup;
  /** Absent when the engine cannot export the request's KV cache. */
  readonly kvExport?: KvExport;
}
