import { isRepeatKey, PromptQuarantine } from '@ragwortrudder/admission';
import type { Route, RunnerEntry, Service } from '@ragwortrudder/catalog';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { ABORT_REASONS } from '../utils/abort-reasons.ts';
import { FIXED_OVERHEAD_MS } from '../utils/fixed-overhead-ms.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';

interface AttemptEvidenceOptions extends Pick<
  ForwarderOptions,
  'pool' | 'rollouts' | 'quarantine' | 'loadTracker' | 'deferredEvidence'
> {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: Service;
  /** Keys under which the request may be found to crash runners. */
  readonly quarantineKeys: readonly string[];
}

interface Attempt {
  readonly entry: RunnerEntry;
  readonly expectedMs: number;
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
  readonly tookMs: number;
  /** The runner had begun to respond. */
  readonly hasResponded: boolean;
}

const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;
/** Lower bound of the expected time that a measured one is compared with, in milliseconds. */
const MIN_EXPECTED_MS = 20;

/** What an attempt tells about its runner, about versions of a service and about the prompt. */
export class AttemptEvidence {
  readonly #options: AttemptEvidenceOptions;
  /** The attempt has shown that its prompt does not crash runners. */
  #isProved = false;

  constructor(options: AttemptEvidenceOptions) {
    this.#options = options;
  }

  /** Records that the runner has begun to respond to a request that was sent at `sentAt`. */
  recordAlive(entry: RunnerEntry, sentAt: number): void {
    this.#options.quarantine.recordAlive(incarnationOf(entry), sentAt);
  }

  /** Records that the runner has been responding for a time. */
  recordProof(respondingMs: number): void {
    if (this.#isProved || respondingMs < PromptQuarantine.proofMs) return;
    this.#isProved = true;
    const { quarantine, quarantineKeys } = this.#options;
    quarantine.recordServed(quarantineKeys);
  }

  /** Records the outcome of an attempt. */
  record(outcome: AttemptOutcome, attempt: Attempt): void {
    this.#recordForRunner(outcome, attempt);
    this.#recordForPrompt(outcome, attempt);
  }

  /** Compares the versions of a service during a roll-out. */
  recordForRollout(
    { entry, expectedMs }: Pick<Attempt, 'entry' | 'expectedMs'>,
    kind: 'success' | 'failure',
    tookMs: number,
  ): void {
    const { rollouts, route, service, loadTracker } = this.#options;
    const slots = service.engine?.slots ?? entry.slots;
    rollouts.recordOutcome(entry, {
      route: route.name,
      load: loadTracker.workAt(entry.id).requests / Math.max(1, slots),
      kind,
      ...(kind === 'success'
        ? { latencyRatio: tookMs / Math.max(MIN_EXPECTED_MS, expectedMs) }
        : {}),
    });
  }

  #recordForRunner(outcome: AttemptOutcome, attempt: Attempt): void {
    const { pool, service, route } = this.#options;
    const { entry, expectedMs, tookMs } = attempt;
    switch (outcome.kind) {
      case 'unsent':
        pool.links.recordFailure(entry, outcome.failure);
        return;
      case 'refused':
        if (outcome.isMisdirected) pool.markUnreachable(entry, 'another runner has the address');
        return;
      case 'answered': {
        const isFailure = outcome.response.head.status >= FIRST_SERVER_ERROR;
        this.recordForRollout(attempt, isFailure ? 'failure' : 'success', tookMs);
        if (isFailure) pool.recordFailure(entry);
        else if (!service.engine) {
          pool.recordSuccess(
            entry,
            (tookMs + FIXED_OVERHEAD_MS) / (expectedMs + FIXED_OVERHEAD_MS),
            { route: route.name, tookMs, usualMs: expectedMs },
          );
        }
        return;
      }
      case 'broken':
        this.#recordBroken(outcome, attempt);
        return;
      case 'relayed':
      case 'ended':
    }
  }

  /** A lost connection, or silence, may be the fault of the node's own links. */
  #recordBroken(
    { reason, isConnectionLost }: Extract<AttemptOutcome, { readonly kind: 'broken' }>,
    attempt: Attempt,
  ): void {
    if (reason === ABORT_REASONS.held) return;
    const { pool, deferredEvidence } = this.#options;
    const isSilent = reason === ABORT_REASONS.silent;
    const blame = (): void => {
      if (!isSilent) pool.recordFailure(attempt.entry);
      this.recordForRollout(attempt, 'failure', attempt.tookMs);
    };
    if (isConnectionLost) pool.links.recordLoss(attempt.entry);
    if (isConnectionLost || isSilent) deferredEvidence.add(attempt.entry, blame);
    else blame();
  }

  /** Records whether the runner may have crashed under the prompt. */
  #recordForPrompt(
    outcome: AttemptOutcome,
    { entry, sentAt, hasResponded }: Pick<Attempt, 'entry' | 'sentAt' | 'hasResponded'>,
  ): void {
    const { quarantine, quarantineKeys, request, pool } = this.#options;
    if (this.#isProved || pool.links.isOwnFault(entry)) return;
    const prompt = {
      runner: incarnationOf(entry),
      request: request.promptParts.at(-1)?.id ?? request.id,
      parts: quarantineKeys,
    };
    if (outcome.kind === 'broken' && outcome.isConnectionLost) {
      const aliveAt = pool.lastProgressAt(entry);
      quarantine.recordInterrupted({ ...prompt, hasResponded, sentAt, aliveAt });
    }
    if (outcome.kind === 'relayed' || outcome.kind === 'answered') {
      // A failure proves nothing of the prompt, but the request has not ended its runner.
      const isFailure =
        outcome.kind === 'answered' && outcome.response.head.status >= FIRST_CLIENT_ERROR;
      const parts = isFailure ? prompt.parts.filter(isRepeatKey) : prompt.parts;
      const isFramed = outcome.transfer.framing !== 'connection';
      quarantine.recordEnded({ ...prompt, parts, isFramed });
    }
    if (outcome.kind === 'unsent') quarantine.recordUnreachable(prompt.runner);
  }
}
