import type { PolicyOptions } from '../types/policy-options.ts';
import type { RoutingChoice } from '../types/routing-choice.ts';
import type { RoutingRequest } from '../types/routing-request.ts';
import type { RoutingOptions } from '../types/routing-options.ts';
import type { RunnerView } from '../types/runner-view.ts';
import { estimateRequests } from './estimate-requests.ts';
import { BLOCK_TOKENS } from './block-tokens.ts';
import { pickRandom } from './pick-random.ts';
import { eligibleRunners } from './eligible-runners.ts';
import { estimateFirstToken } from './estimate-first-token.ts';
import type { SessionPrefixDetector } from './session-prefix-detector.ts';
import { rendezvousFirst } from './rendezvous-first.ts';
import { runnersWithinLoadBound } from './runners-within-load-bound.ts';
import { pickLowestCost } from './pick-lowest-cost.ts';

/** Prefix lengths in blocks for which the hash owner is determined. */
const OWNER_DEPTHS: readonly number[] = [2, 8, 32];
const MAX_HOLDERS = 3;
const RANDOM_CANDIDATES = 2;
/** Cost differences up to this value, in milliseconds, count as ties. */
const TIE_MS = 0.5;
const DEFAULT_OWNER_PRIOR = 0.6;
/** Fraction of a prompt that the hash owner of its session is assumed to have cached. */
const SESSION_PRIOR = 0.9;
const DEFAULT_LOAD_BOUND = 1.25;
const DEFAULT_STREAM_COST_MS = 2;

/**
 * Maps the hash owners of the prompt's prefixes to the tokens that each is assumed to have cached.
 */
function assumedTokensByOwner(
  runners: readonly RunnerView[],
  { blocks, promptTokens }: RoutingRequest,
  policy: PolicyOptions,
  sessionDetector: SessionPrefixDetector | undefined,
): ReadonlyMap<string, number> {
  const assumedTokens = new Map<string, number>();
  const prior = policy.ownerPrior ?? DEFAULT_OWNER_PRIOR;
  const withinBound = runnersWithinLoadBound(runners, policy.loadBound ?? DEFAULT_LOAD_BOUND);
  for (const depth of OWNER_DEPTHS) {
    const key = blocks[depth - 1];
    if (key === undefined) break;
    const owner = rendezvousFirst(key, withinBound);
    if (owner) assumedTokens.set(owner.id, depth * BLOCK_TOKENS * prior);
  }
  const sessionKey = sessionDetector?.sessionBlock(blocks);
  const sessionOwner = sessionKey === undefined ? undefined : rendezvousFirst(sessionKey, runners);
  if (sessionOwner) assumedTokens.set(sessionOwner.id, promptTokens * SESSION_PRIOR);
  return assumedTokens;
}

/** Selects the small set of runners whose costs are compared. */
function selectCandidates(
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
    const picked = pickRandom(others, options.random);
    if (picked) ids.add(picked.id);
  }
  return [...ids].flatMap((id) => byId.get(id) ?? []);
}

/**
 * Chooses the runner with the lowest estimated cost from a small set: the runners with the longest
 * known prefix, the hash owners of the prompt's prefixes, and two random runners. The cost is the
 * estimated time to the first token plus the delay that prefill and decoding add to other requests.
 */
export function chooseRunner(
  options: RoutingOptions,
  policy: PolicyOptions = {},
  sessionDetector?: SessionPrefixDetector,
): RoutingChoice | undefined {
  const { request, random, cache } = options;
  const { recomputeWeight = 1, streamCostMs = DEFAULT_STREAM_COST_MS } = policy;
  const runners = eligibleRunners(options);
  const assumedTokens = assumedTokensByOwner(runners, request, policy, sessionDetector);
  const choices = selectCandidates(runners, assumedTokens.keys(), options).map(
    (runner): RoutingChoice => {
      const knownTokens = cache?.cachedTokens(runner.id, request.blocks) ?? 0;
      const cachedTokens = Math.max(knownTokens, assumedTokens.get(runner.id) ?? 0);
      return { runner, estimate: estimateFirstToken(runner, request, cachedTokens), compared: 0 };
    },
  );
  const costOf = ({ runner, estimate }: RoutingChoice): number =>
    estimate.totalMs +
    recomputeWeight * estimate.prefillMs +
    streamCostMs * estimateRequests(runner);
  const best = pickLowestCost(choices, costOf, random, TIE_MS);
  return best && { ...best, compared: choices.length };
}
