import type { InterruptedRequest } from '../types/interrupted-request.ts';

interface SelectionOptions {
  /** Interruptions to select from. */
  readonly candidates: readonly InterruptedRequest[];
  /** All known interruptions, of this node and of its peers. */
  readonly known: readonly InterruptedRequest[];
  /** When a part was last served, by any node. */
  readonly servedAt: (part: string) => number;
  /** Maximum number of interruptions. */
  readonly limit: number;
}

/**
 * Selects the interruptions that say most about the cause of crashes, in their order: those with a part, or
 * of a request, that was present at the most crashes and was not served since. Requests that were present
 * by chance are served soon, so that the size follows from the crashes and not from the load. Parts that
 * were served since are left out.
 */
export function selectInterruptions(options: SelectionOptions): readonly InterruptedRequest[] {
  const { candidates, known, servedAt, limit } = options;
  const suspects = (request: InterruptedRequest): readonly string[] =>
    request.parts.filter((part) => servedAt(part) < request.at);
  const suspected = candidates
    .map((request) => ({ ...request, parts: suspects(request) }))
    .filter(({ parts }) => parts.length > 0);
  if (suspected.length <= limit) return suspected;
  const boots = new Map<string, Set<string>>();
  for (const request of known) {
    for (const part of suspects(request)) {
      const runners = boots.get(part) ?? new Set();
      boots.set(part, runners.add(request.runner));
    }
  }
  const selected = suspected
    .map((request) => {
      const crashes = Math.max(...request.parts.map((part) => boots.get(part)?.size ?? 0));
      return { request, crashes };
    })
    .toSorted((one, other) => other.crashes - one.crashes || other.request.at - one.request.at)
    .slice(0, limit);
  const kept = new Set(selected.map(({ request }) => request));
  return suspected.filter((request) => kept.has(request));
}
