import { ageEvidence, isRepeatKey, PromptQuarantine, repeatKey } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';

interface SimulationOptions {
  readonly seed: number;
  readonly lengthMs: number;
  /** @default 9 */
  readonly nodes?: number;
  /** Nodes of a failure domain, which alone exchange reports; two of them send digests to the others. */
  readonly domainNodes?: number;
  /** @default 200 */
  readonly reportPeriodMs?: number;
  /** Sound requests per second. @default 45 */
  readonly soundPerS?: number;
  /** @default 6 */
  readonly runners?: number;
  /** Share of the sound requests that have no prompt and may come again. @default 0 */
  readonly plainShare?: number;
  /** Requests per second with a crashing part, each with its own, or of a crashing request. */
  readonly crashing: readonly CrashingLoad[];
  /** Ends runners whatever they do: time and number of runners. */
  readonly rackLosses?: readonly (readonly [number, number])[];
  /** Times at which all nodes start again, with what they stored in the log. */
  readonly restartsAt?: readonly number[];
  /** Nodes that neither send to nor hear the others, but share the log with them. */
  readonly isolated?: ReadonlySet<number>;
}

interface CrashingLoad {
  readonly part: string;
  readonly perS: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Until when requests with the part are served. @default 0 */
  readonly soundUntilMs?: number;
}

interface Attempt {
  readonly node: number;
  readonly runner: number;
  readonly request: string;
  readonly parts: readonly string[];
  readonly sends: number;
  readonly sentAt: number;
  readonly beginsAt: number;
  readonly endsAt: number;
  readonly crashesAt: number;
}

interface SimulationResult {
  /** By part: times at which a request with it reached a runner. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>;
  /** By part: times at which a runner ended under it. */
  readonly crashes: ReadonlyMap<string, readonly number[]>;
  /** Parts that some node decided to quarantine, with the time. */
  readonly quarantined: readonly (readonly [string, number])[];
  /** Sound requests rejected because of their parts, after a settling time for each quarantine. */
  readonly soundRejected: number;
  readonly soundSent: number;
}

const STEP_MS = 10;
const RESTART_MS = 4_000;
const LOSS = 0.02;
const EXCHANGE_PERIOD_MS = 1_000;
const MS_PER_S = 1_000;
/** Families of sound prompts: share of the requests, prefill and length of the response. */
const FAMILIES = [
  { first: 'f1', share: 0.7, groups: 30, prefillMs: 60, lastsMs: 120 },
  { first: 'f2', share: 0.3, groups: 400, prefillMs: 200, lastsMs: 1_600 },
] as const;

/** Sound requests without a prompt: different ones, and length of the response. */
const PLAIN = { first: 'plain', things: 200, prefillMs: 40, lastsMs: 40 } as const;
/** Time after which a caller repeats a request that failed, in milliseconds. */
const REPEAT_MS = 100;

/** Plays nodes that exchange evidence while requests with some prompt parts crash runners. */
export function simulateCrashingPrompts(options: SimulationOptions): SimulationResult {
  const { seed, lengthMs, nodes: count = 9, domainNodes = count, crashing } = options;
  const { reportPeriodMs = 200, soundPerS = 45, rackLosses = [], restartsAt = [] } = options;
  const { runners: runnerCount = 6, plainShare = 0 } = options;
  const isolated = options.isolated ?? new Set<number>();
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const startedAt = clock.monotonic();
  const log = new Map<number, { readonly at: number; readonly text: string }>();
  let life = 0;
  let isStoreNeeded = new Set<number>();
  const start = (node: number): PromptQuarantine => {
    const quarantine = new PromptQuarantine({ clock, trialRank: () => node });
    for (const [key, { at, text }] of log) adopt(quarantine, key, at, text);
    return quarantine;
  };
  const adopt = (quarantine: PromptQuarantine, key: number, at: number, text: string): void => {
    const ageMs = clock.monotonic() - at;
    const evidence = JSON.parse(text) as NonNullable<PromptQuarantine['evidence']>;
    quarantine.setPeerEvidence(
      { node: `record of ${key}`, incarnation: '' },
      ageEvidence(evidence, ageMs),
    );
  };
  let quarantines = Array.from({ length: count }, (_item, node) => start(node));
  const upAt = Array.from({ length: runnerCount }, () => 0);
  const boots = Array.from({ length: runnerCount }, () => 0);
  let attempts: Attempt[] = [];
  const proved = new WeakSet<Attempt>();
  const arrivals = new Map<string, number[]>();
  const crashes = new Map<string, number[]>();
  const quarantined: [string, number][] = [];
  const crashingParts = new Set(crashing.map(({ part }) => part));
  let soundRejected = 0;
  let soundSent = 0;
  let requests = 0;
  const now = (): number => clock.monotonic() - startedAt;

  const send = (node: number, request: string, parts: readonly string[], sends: number): void => {
    const up = upAt.flatMap((at, runner) => (at <= now() ? [runner] : []));
    const runner = up[Math.floor(random.next() * up.length)];
    if (runner === undefined) return;
    for (const part of parts) {
      if (crashingParts.has(part)) arrivals.set(part, [...(arrivals.get(part) ?? []), now()]);
    }
    const load = crashing.find(({ part, untilMs, soundUntilMs = 0 }) => {
      return parts.includes(part) && now() >= soundUntilMs && now() < untilMs;
    });
    const family = FAMILIES.find(({ first }) => parts[0] === first) ?? PLAIN;
    const beginsAt = now() + family.prefillMs * (0.5 + random.next());
    attempts.push({
      node,
      runner,
      request,
      parts,
      sends,
      sentAt: clock.monotonic(),
      beginsAt,
      endsAt: load ? Infinity : beginsAt + family.lastsMs * (0.5 + random.next()),
      crashesAt: load ? beginsAt + 30 + 100 * random.next() : Infinity,
    });
  };
  let repeats: { readonly at: number; readonly parts: readonly string[] }[] = [];
  const arrive = (parts: readonly string[]): void => {
    requests += 1;
    const node = Math.floor(random.next() * count);
    const isSound = !parts.some((part) => crashingParts.has(part));
    if (isSound) soundSent += 1;
    const held = quarantines[node]?.find(parts);
    if (held) {
      if (isSound) soundRejected += 1;
      return;
    }
    send(node, `q${requests}`, parts, 1);
  };
  const crash = (runner: number): void => {
    const incarnation = `i${runner} ${boots[runner] ?? 0}`;
    upAt[runner] = now() + RESTART_MS;
    boots[runner] = (boots[runner] ?? 0) + 1;
    const lost = attempts.filter((attempt) => attempt.runner === runner);
    attempts = attempts.filter((attempt) => attempt.runner !== runner);
    for (const attempt of lost) {
      const { node, request, parts, sends, sentAt, beginsAt } = attempt;
      const hasResponded = beginsAt <= now();
      const quarantine = quarantines[node];
      if (!proved.has(attempt))
        quarantine?.recordInterrupted({
          runner: incarnation,
          request,
          parts,
          hasResponded,
          sentAt,
          aliveAt: 0,
        });
      if (sends < 2 && !quarantine?.isHeld(parts)) send(node, request, parts, sends + 1);
      else if (parts.every(isRepeatKey)) repeats.push({ at: now() + REPEAT_MS, parts });
    }
  };

  while (now() < lengthMs) {
    clock.advance(STEP_MS);
    for (const [at, runners] of rackLosses) {
      if (at > now() - STEP_MS && at <= now()) {
        for (let runner = 0; runner < runners; runner += 1) crash(runner);
      }
    }
    const due = repeats.filter(({ at }) => at <= now());
    repeats = repeats.filter(({ at }) => at > now());
    for (const { parts } of due) arrive(parts);
    const isSound = random.next() < (soundPerS * STEP_MS) / MS_PER_S;
    if (isSound && random.next() < plainShare) {
      arrive([repeatKey(`thing${Math.floor(random.next() * PLAIN.things)}`)]);
    } else if (isSound) {
      const family = random.next() < FAMILIES[0].share ? FAMILIES[0] : FAMILIES[1];
      arrive([family.first, `${family.first}g${Math.floor(random.next() * family.groups)}`]);
    }
    for (const { part, perS, fromMs, untilMs } of crashing) {
      const isOn = now() >= fromMs && now() < Math.max(untilMs, lengthMs);
      if (isOn && random.next() < (perS * STEP_MS) / MS_PER_S)
        arrive(isRepeatKey(part) ? [part] : ['f1', part]);
    }
    const crashed = attempts.find(({ crashesAt }) => crashesAt <= now());
    if (crashed) {
      for (const part of crashed.parts) {
        if (crashingParts.has(part)) crashes.set(part, [...(crashes.get(part) ?? []), now()]);
      }
      crash(crashed.runner);
    }
    for (const attempt of attempts) {
      const { node, runner, request, parts, beginsAt, endsAt } = attempt;
      const quarantine = quarantines[node];
      const incarnation = `i${runner} ${boots[runner] ?? 0}`;
      if (endsAt <= now() && !proved.has(attempt)) {
        quarantine?.recordEnded({ runner: incarnation, request, parts, isFramed: true });
      } else if (now() - beginsAt >= PromptQuarantine.proofMs && !proved.has(attempt)) {
        quarantine?.recordServed(parts);
        proved.add(attempt);
      }
    }
    attempts = attempts.filter(({ endsAt }) => endsAt > now());
    if (now() % 200 < STEP_MS) {
      for (const [node, quarantine] of quarantines.entries()) {
        for (const { part, kind } of quarantine.update()) {
          if (kind !== 'quarantined') continue;
          quarantined.push([part, now()]);
          isStoreNeeded.add(node);
        }
      }
    }
    if (now() % reportPeriodMs < STEP_MS) exchange();
    if (now() % EXCHANGE_PERIOD_MS < STEP_MS) {
      const isDivided = isolated.size > 0;
      for (const node of isDivided ? quarantines.keys() : isStoreNeeded) {
        const evidence = quarantines[node]?.evidence;
        if (evidence) log.set(node, { at: clock.monotonic(), text: JSON.stringify(evidence) });
      }
      isStoreNeeded = new Set();
      for (const [node, quarantine] of isDivided ? quarantines.entries() : []) {
        for (const [key, { at, text }] of log) {
          if (key !== node) adopt(quarantine, key, at, text);
        }
      }
    }
    if (restartsAt.some((at) => at > now() - STEP_MS && at <= now())) {
      life += 1;
      quarantines = quarantines.map((_quarantine, node) => start(node));
      attempts = [];
    }
  }
  return { arrivals, crashes, quarantined, soundRejected, soundSent };

  function exchange(): void {
    const domainOf = (node: number): number => Math.floor(node / domainNodes);
    const incarnation = String(life);
    for (const [from, sender] of quarantines.entries()) {
      if (isolated.has(from)) continue;
      const report = sender.evidence;
      const members = [...quarantines.keys()].filter((node) => domainOf(node) === domainOf(from));
      const isRelay = from % domainNodes < 2;
      const digest = isRelay ? sender.evidenceOver(new Set(members.map(String))) : undefined;
      for (const [to, receiver] of quarantines.entries()) {
        if (to === from || isolated.has(to) || random.next() < LOSS) continue;
        if (domainOf(to) === domainOf(from)) {
          receiver.setPeerEvidence({ node: String(from), incarnation }, report);
        } else if (isRelay) {
          const node = `domain ${domainOf(from)}`;
          receiver.setPeerEvidence({ node, incarnation: `${from} ${incarnation}` }, digest);
        }
      }
    }
  }
}
