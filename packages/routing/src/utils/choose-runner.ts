import type { PolicyOptions } from '../types/policy-options.ts';
import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingRequest } from '../types/routing-request.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { agedRequests } from './aged-requests.ts';
import { BLOCK_TOKENS } from './block-tokens.ts';
import { draw } from './draw.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { estimateFirstToken } from './estimate-first-token.ts';
import type { PrefixBranches } from './prefix-branches.ts';
import { rendezvousFirst } from './rendezvous-first.ts';
import { runnersWithRoom } from './runners-with-room.ts';
import { smallest } from './smallest.ts';

/** Prefix lengths in blocks for which an owner is looked up. */
const OWNER_DEPTHS: readonly number[] = [2, 8, 32];
const MAX_HOLDERS = 3;
const RANDOM_CANDIDATES = 2;
/** Costs closer than this in milliseconds are equal. */
const TIE_MS = 0.5;
const DEFAULT_OWNER_PRIOR = 0.6;
/** Part of a prompt that the hash owner of its session is assumed to hold. */
const SESSION_PRIOR = 0.9;
const DEFAULT_LOAD_BOUND = 1.25;
const DEFAULT_STREAM_COST_MS = 2;

/** Owners of the prompt's prefixes, with the tokens that each is assumed to hold. */
function owners(
  runners: readonly RunnerView[],
  { blocks, promptTokens }: RoutingRequest,
  policy: PolicyOptions,
  branches: PrefixBranches | undefined,
): ReadonlyMap<string, number> {
  const assumed = new Map<string, number>();
  const prior = policy.ownerPrior ?? DEFAULT_OWNER_PRIOR;
  const roomy = runnersWithRoom(runners, policy.loadBound ?? DEFAULT_LOAD_BOUND);
  for (const depth of OWNER_DEPTHS) {
    const key = blocks[depth - 1];
    if (key === undefined) break;
    const owner = rendezvousFirst(key, roomy);
    if (owner) assumed.set(owner.id, depth * BLOCK_TOKENS * prior);
  }
  const session = branches?.sessionBlock(blocks);
  const home = session === undefined ? undefined : rendezvousFirst(session, runners);
  if (home) assumed.set(home.id, promptTokens * SESSION_PRIOR);
  return assumed;
}

/** The few runners whose costs are compared. */
function shortlist(
  runners: readonly RunnerView[],
  ownerIds: Iterable<string>,
  options: RoutingOptions,
): readonly RunnerView[] {
  const byId = new Map(runners.map((runner) => [runner.id, runner]));
  const holders = options.cache?.holders(options.request.blocks, runners.length) ?? [];
  const holderIds = holders.map(({ runnerId }) => runnerId).filter((id) => byId.has(id));
  const ids = new Set([...holderIds.slice(0, MAX_HOLDERS), ...ownerIds]);
  for (let i = 0; i < RANDOM_CANDIDATES; i += 1) {
    const others = runners.filter(({ id }) => !ids.has(id));
    const drawn = draw(others, options.random);
    if (drawn) ids.add(drawn.id);
  }
  return [...ids].flatMap((id) => byId.get(id) ?? []);
}

/**
 * Chooses the runner of smallest estimated cost among a few: those with the longest known prefix,
 * the hash owners of the prompt's prefixes, and two drawn at random. The cost is the estimated
 * time to the first token, plus what the computed tokens and the stream cost other requests.
 */
export function chooseRunner(
  options: RoutingOptions,
  policy: PolicyOptions = {},
  branches?: PrefixBranches,
): RoutingChoice | undefined {
  const { request, random, cache } = options;
  const { recomputeWeight = 1, streamCostMs = DEFAULT_STREAM_COST_MS } = policy;
  const runners = eligibleRunners(options);
  const assumed = owners(runners, request, policy, branches);
  const choices = shortlist(runners, assumed.keys(), options).map((runner): RoutingChoice => {
    const known = cache?.cachedTokens(runner.id, request.blocks) ?? 0;
    const cached = Math.max(known, assumed.get(runner.id) ?? 0);
    return { runner, estimate: estimateFirstToken(runner, request, cached), compared: 0 };
  });
  const costOf = ({ runner, estimate }: RoutingChoice): number =>
    estimate.totalMs + recomputeWeight * estimate.prefillMs + streamCostMs * agedRequests(runner);
  const best = smallest(choices, costOf, random, TIE_MS);
  return best && { ...best, compared: choices.length };
}
