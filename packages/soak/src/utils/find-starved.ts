import type { FaultSpan } from '../types/fault-span.ts';
import type { ObservedAnswer } from '../types/observed-answer.ts';
import type { SentRequest } from '../types/sent-request.ts';
import type { Violation } from '../types/violation.ts';
import { DEADLINE_MS } from './deadline-ms.ts';

interface ObservedRequest {
  readonly request: SentRequest;
  readonly answer: ObservedAnswer | undefined;
  /** Ids of the runners that ran it. */
  readonly runners: readonly string[];
}

/** Faults with bytes without end that leave other requests alone. */
const ENDLESS = /^(runner|caller|store)-endless$/;
/** Further faults that need not delay or refuse a request. */
const HARMLESS = /^(configure|configure-idle|node-reload|odd-entry|cloud-down|caller-slow-body)$/;
/** Time after a fault from which the platform's bounds apply, in milliseconds. */
const CONTACT_MS = 3_000;
/** Time after which a killed or stopped node serves again, in milliseconds. */
const RESTART_MS = 14_000;
/** Time after which a request that crosses the close of its connection has been read, in milliseconds. */
const LOSS_SLACK_MS = 200;
const HTTP_OK = 200;

/**
 * Finds requests that were not served within their deadline beside bytes without end of others, while
 * nothing else could take or delay them.
 */
export function findStarved(
  observed: readonly ObservedRequest[],
  faults: readonly FaultSpan[],
): readonly Violation[] {
  return observed.flatMap(({ request, answer, runners }) => {
    if (answer === undefined || request.crashes !== undefined) return [];
    const isBeside = ({ at, until }: FaultSpan, afterMs: number): boolean =>
      at < answer.at && request.at < until + afterMs;
    const endless = faults.filter((fault) => ENDLESS.test(fault.kind) && isBeside(fault, 0));
    if (endless.length === 0) return [];
    const mayFail = faults.some(({ kind, ...span }) => {
      if (kind === 'runner-endless') {
        return isBeside({ kind, ...span }, CONTACT_MS) && runners.includes(span.runner ?? '');
      }
      if (ENDLESS.test(kind) || HARMLESS.test(kind)) return false;
      const isKilling = /^(node-(stop|kill)|all-kill|roll-stop|upgrade)$/.test(kind);
      return isBeside({ kind, ...span }, isKilling ? RESTART_MS : CONTACT_MS);
    });
    const usedMs = answer.at - request.at;
    const isServed = answer.status === HTTP_OK && answer.isWhole && usedMs <= DEADLINE_MS;
    const crossesClose =
      answer.status === undefined && runners.length === 0 && usedMs <= LOSS_SLACK_MS;
    if (mayFail || isServed || crossesClose) return [];
    const how = `${String(answer.status ?? answer.error)} after ${usedMs.toFixed(0)} ms`;
    const kinds = [...new Set(endless.map(({ kind }) => kind))].join(', ');
    const message = `${request.id} (${request.kind}) at ${request.node}: ${how}, beside ${kinds}`;
    return [{ promise: 'sound-beside', message }];
  });
}
