import type { Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import type { PlacementRequest } from '@ragwortrudder/routing';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ChosenRunner } from '../types/chosen-runner.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { ResponseHead } from '../types/response-head.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import type { Silence } from '../types/silence.ts';
import { ABORT_REASONS } from '../utils/abort-reasons.ts';
import { FIXED_OVERHEAD_MS } from '../utils/fixed-overhead-ms.ts';
import { isFaultySilence } from '../utils/is-faulty-silence.ts';
import { silenceOf } from '../utils/silence-of.ts';
import { AttemptEvidence } from './attempt-evidence.ts';
import { AttemptSink } from './attempt-sink.ts';
import type { CallerChannel } from './caller-channel.ts';
import { RunnerAttempt } from './runner-attempt.ts';

interface MonitoredAttemptOptions extends ForwarderOptions {
  readonly request: CallerRequest;
  readonly channel: CallerChannel;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  /** Keys under which the request may be found to crash runners. */
  readonly quarantineKeys: readonly string[];
  readonly placement: PlacementRequest;
  readonly chosen: ChosenRunner;
  readonly remainingMs: number;
  /** Undefined for a runner that is not a model engine. */
  readonly enginePriority: number | undefined;
  /** Idle connections may be lost. */
  readonly needsNewConnection: boolean;
  /** Another attempt at the request is in progress. */
  readonly hasOther: () => boolean;
  /** Called when the first bytes of a streamed response are passed on, and with each event. */
  readonly onBytes: (attempt: MonitoredAttempt) => void;
  /** Called when the first event of a response is passed on, with the time since the request was sent. */
  readonly onFirstEvent: (tookMs: number) => void;
}

const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
/**
 * Prompt tokens from which a prompt is announced to peers immediately: its prefill takes far longer
 * than a datagram.
 */
const LONG_PROMPT_TOKENS = 8_000;

/** An attempt at a runner, with its work accounted for and its progress watched. */
export class MonitoredAttempt {
  readonly entry: RunnerEntry;
  /** Settles with the outcome, once it has been recorded. */
  readonly outcome: Promise<AttemptOutcome>;
  readonly #options: MonitoredAttemptOptions;
  readonly #evidence: AttemptEvidence;
  readonly #sink: AttemptSink;
  readonly #attempt: RunnerAttempt;
  readonly #sentAt: number;
  /** No other prompt is being prefilled for this node at the runner. */
  readonly #isOnlyPrefill: boolean;
  #work: RunnerWork;
  #progressAt: number;
  #respondingSince: number | undefined;
  #firstEventAt: number | undefined;

  constructor(options: MonitoredAttemptOptions) {
    this.#options = options;
    const { clock, channel, loadTracker, pool, placement, chosen, onLongPrompt } = options;
    this.entry = chosen.entry;
    this.#evidence = new AttemptEvidence(options);
    this.#sentAt = clock.monotonic();
    this.#progressAt = this.#sentAt;
    this.#isOnlyPrefill = loadTracker.workAt(this.entry.id).prefillTokens === 0;
    this.#work = {
      requests: 1,
      prefillTokens: chosen.prefillTokens,
      kvTokens: placement.ownTokens + placement.sharedTokens,
    };
    this.#sink = new AttemptSink({
      channel,
      hasOther: options.hasOther,
      onBytes: () => {
        if (!this.#sink.hasPushed) {
          channel.onFirstEvent(() => {
            this.#recordFirstEvent();
          });
        }
        options.onBytes(this);
      },
      onDrain: () => {
        this.#progressAt = clock.monotonic();
      },
    });
    // What cannot be sent is no work.
    this.#attempt = this.#send();
    loadTracker.add(this.entry.id, this.#work);
    if (chosen.prefillTokens >= LONG_PROMPT_TOKENS) {
      onLongPrompt(this.entry.id, chosen.prefillTokens);
    }
    pool.recordSend(this.entry);
    this.recordSession();
    this.outcome = this.#attempt.outcome.then((outcome) => this.#record(outcome));
  }

  /** Time since the request was sent, in milliseconds. */
  get tookMs(): number {
    return this.#options.clock.monotonic() - this.#sentAt;
  }

  /** Time since the first bytes of the response arrived, in milliseconds; undefined before. */
  get respondingMs(): number | undefined {
    if (this.#respondingSince === undefined) return undefined;
    return this.#options.clock.monotonic() - this.#respondingSince;
  }

  /** A runner is not silent while its response waits for the caller, or for its turn to be read. */
  get silence(): Silence {
    if (this.#sink.isBlocked || this.#attempt.isHeld) return 'none';
    const { clock, pool, route } = this.#options;
    const silentMs = clock.monotonic() - this.#progressAt;
    return silenceOf({
      route,
      hasFirstEvent: this.#sink.hasPushed,
      silentMs,
      runnerSilentMs: Math.min(silentMs, pool.silentMs(this.entry)),
      isLinkSilent: pool.links.isSilent(this.entry),
    });
  }

  /** Records that the runner has the session of the request. */
  recordSession(): void {
    const { sessions, placement, clock } = this.#options;
    sessions.record(placement.session, this.entry.id, clock.monotonic());
  }

  /** Ends the attempt with `outcome` and closes the connection to the runner. */
  abort(outcome: AttemptOutcome): void {
    this.#attempt.abort(outcome);
  }

  /** Ends the attempt because another one responds; a silence that no sound runner keeps is its runner's fault. */
  supersede(): void {
    const isFaulty = isFaultySilence(this.silence);
    this.abort(
      isFaulty
        ? { kind: 'broken', reason: ABORT_REASONS.silent, isConnectionLost: false }
        : { kind: 'ended' },
    );
  }

  #send(): RunnerAttempt {
    const { dialect, intake, request, route, team, channel, pool, clock } = this.#options;
    const { remainingMs, needsNewConnection } = this.#options;
    return new RunnerAttempt({
      dialect,
      agent: needsNewConnection ? pool.newAgent() : pool.agentOf(this.entry),
      intake,
      request,
      metadata: {
        runner: this.entry,
        remainingMs,
        team: team?.name,
        priority: this.#options.enginePriority,
        lastEventId: channel.lastEventId ?? request.lastEventId,
      },
      ...(route.kind === 'stream' ? { sink: this.#sink } : {}),
      onHead: (head) => {
        this.#recordHead(head);
      },
      onProgress: () => {
        this.#progressAt = clock.monotonic();
        this.#respondingSince ??= this.#progressAt;
        this.#evidence.recordProof(this.#progressAt - this.#respondingSince);
        pool.recordProgress(this.entry);
      },
      onRelease: (heldMs) => {
        this.#progressAt += heldMs;
      },
    });
  }

  #recordHead(head: ResponseHead): void {
    const { pool } = this.#options;
    const { status, load, requestsPerSecond, rejectionsPerSecond, coldMs } = head;
    const { isLeaving, isNotExecuted, retryAfterMs = 0 } = head;
    if (status === HTTP_MISDIRECTED) return;
    this.#evidence.recordAlive(this.entry, this.#sentAt);
    if (status === HTTP_UNAVAILABLE) pool.recordRest(this.entry, retryAfterMs);
    else pool.recordTaken(this.entry);
    if (isLeaving) pool.recordLeaving(this.entry);
    pool.recordStatedLimit(this.entry, requestsPerSecond);
    pool.recordCold(this.entry, coldMs);
    pool.recordBrittle(this.entry, rejectionsPerSecond);
    if (status === HTTP_UNAVAILABLE && isNotExecuted) pool.recordRejection(this.entry, load);
    if (load) pool.recordLoad(this.entry, load);
  }

  #recordFirstEvent(): void {
    if (this.#firstEventAt !== undefined) return;
    const { clock, loadTracker, pool, chosen, onFirstEvent } = this.#options;
    this.#firstEventAt = clock.monotonic();
    const firstEventMs = this.#firstEventAt - this.#sentAt;
    const { prefillTokens } = this.#work;
    loadTracker.add(this.entry.id, { requests: 0, prefillTokens: -prefillTokens, kvTokens: 0 });
    this.#work = { ...this.#work, prefillTokens: 0 };
    onFirstEvent(firstEventMs);
    if (this.#isOnlyPrefill) {
      pool.prefillRate(this.entry.service).add(chosen.prefillTokens, firstEventMs);
    }
    const ratio = (firstEventMs + FIXED_OVERHEAD_MS) / (chosen.expectedMs + FIXED_OVERHEAD_MS);
    pool.recordSuccess(this.entry, ratio, {
      route: this.#options.route.name,
      tookMs: firstEventMs,
      usualMs: chosen.expectedMs / chosen.slowness,
    });
    this.#evidence.recordForRollout(chosen, 'success', firstEventMs);
  }

  #record(outcome: AttemptOutcome): AttemptOutcome {
    const { loadTracker, chosen } = this.#options;
    loadTracker.add(this.entry.id, {
      requests: -1,
      prefillTokens: -this.#work.prefillTokens,
      kvTokens: -this.#work.kvTokens,
    });
    this.#evidence.record(outcome, {
      ...chosen,
      sentAt: this.#sentAt,
      tookMs: this.tookMs,
      hasResponded: this.#respondingSince !== undefined,
    });
    this.#countTransfer(outcome);
    return outcome;
  }

  #countTransfer(outcome: AttemptOutcome): void {
    const transfer = 'transfer' in outcome ? outcome.transfer : undefined;
    if (!transfer) return;
    const { framing, connection, partialEventBytes = 0 } = transfer;
    this.#options.metrics.count('responses', {
      framing,
      connection,
      partialEvent: String(partialEventBytes > 0),
      outcome: outcome.kind,
    });
  }
}
