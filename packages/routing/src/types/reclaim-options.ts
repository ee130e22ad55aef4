import type { Random } from '@ragwortrudder/core';
import type { CacheLookup } from './cache-lookup.ts';
import type { KvExport } from './kv-export.ts';
import type { RoutingRequest } from './routing-request.ts';
import type { RunnerView } from './runner-view.ts';

/** Input of the choice made at a reclaim notice for one request. */
export interface ReclaimOptions {
  /** Time until the VM is gone in milliseconds. */
  readonly remainingMs: number;
  /** The request, with `blocks` and `promptTokens` over prompt and generated tokens. */
  readonly request: RoutingRequest;
  /** Leaving runner on which the request runs. */
  readonly source: RunnerView;
  /** Tokens still expected to be generated. */
  readonly remainingTokens: number;
  /** Runners that could take over. */
  readonly candidates: readonly RunnerView[];
  readonly random: Random;
  readonly cache?: CacheLookup;
  /** Absent when the engine cannot export the request's KV cache. */
  readonly kvExport?: KvExport;
}
