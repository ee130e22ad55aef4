import { setTimeout as sleep } from 'node:timers/promises';
import type { Closeable } from '@ragwortrudder/core';
import type { KeyedStore, Relay, RelayMode } from '@ragwortrudder/standins';
import type { CrashCause } from '../types/crash-cause.ts';
import type { PlannedFault } from '../types/planned-fault.ts';
import type { RunnerMode } from '../types/runner-mode.ts';
import type { RequestTracker } from '../utils/request-tracker.ts';
import { rollingStops } from '../utils/rolling-stops.ts';
import type { EndlessFaults } from './endless-faults.ts';
import type { StoreWriter } from './store-writer.ts';
import type { SoakCloud } from './soak-cloud.ts';
import type { SoakNode } from './soak-node.ts';

interface FaultInjectorOptions {
  readonly nodes: readonly SoakNode[];
  readonly store: KeyedStore;
  readonly cloud: SoakCloud;
  readonly relay: Relay;
  /** Links of each node to each runner, named after their positions. */
  readonly nodeLinks: Relay;
  readonly storeWriter: StoreWriter;
  readonly tracker: RequestTracker;
  readonly endless: EndlessFaults;
  /** Starts a caller that sends long bodies. */
  readonly startUploadingCaller: (name: string) => Closeable;
  /** Starts a caller whose prompts, or whose repeated request, crash runners. */
  readonly startCrashingCaller: (cause: CrashCause) => Closeable;
}

type StoreFault = Parameters<KeyedStore['setFault']>[0];

/** Faults that affect one node only. */
const NODE_FAULT = /^(node-|links-cut|links-dark|links-refuse-new|store-link-)/;
const SLOW_LINK_MS = 150;
/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const STORE_AWAY_MS = 300;
const LIMIT_PER_S = 2;
/** Time after which a runner that has left starts again, in milliseconds. */
const RESTART_MS = 300;
/** Time after which the platform's bounds apply, in milliseconds; such faults last longer by it. */
const CONTACT_MS = 3_000;
/** Pause between upgrades of nodes, for which both versions run side by side, in milliseconds. */
const UPGRADE_GAP_MS = 3_000;

/**
 * Injects faults and ends them. Overlapping faults that change the same setting are not tracked
 * separately: when one ends, the others end with it.
 */
export class FaultInjector {
  readonly #options: FaultInjectorOptions;

  #crashing = 0;
  #uploading = 0;

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  /** Injects one fault; resolves once it has ended. */
  async inject(fault: PlannedFault): Promise<void> {
    const isOfOneNode = NODE_FAULT.test(fault.kind);
    const { tracker, storeWriter } = this.#options;
    const recordEnd = tracker.recordFault(
      fault.kind,
      isOfOneNode ? this.#node(fault.target)?.id : undefined,
      fault.kind === 'runner-endless' ? storeWriter.runnerAt(fault.target)?.id : undefined,
    );
    await this.#apply(fault);
    recordEnd();
  }

  async #apply(fault: PlannedFault): Promise<void> {
    const { store, cloud, storeWriter } = this.#options;
    const { kind, forMs, target } = fault;
    switch (kind) {
      case 'node-stop':
        this.#node(target)?.signal('SIGTERM');
        return;
      case 'node-kill':
        this.#node(target)?.signal('SIGKILL');
        return;
      case 'node-pause':
        return this.#pause(target, forMs);
      case 'node-reload':
        this.#node(target)?.reload({ quotas: { overage: 0.1, slack: 100 + target, windowS: 8 } });
        return;
      case 'all-kill':
        for (const node of this.#options.nodes) node.signal('SIGKILL');
        return;
      case 'roll-stop':
        return this.#rollingStop(target, forMs);
      case 'upgrade':
        return this.#upgrade();
      case 'store-forgets':
        store.dropHistory('keyed.servers');
        store.dropHistory('keyed.op');
        return;
      case 'store-restores':
        return this.#restoreStore(forMs);
      case 'store-busy':
        return this.#storeFault('busy', forMs);
      case 'store-silent':
        return this.#storeFault('silent', forMs);
      case 'store-reset':
        return this.#storeFault('reset', forMs);
      case 'store-lost':
        return this.#storeFault('lost', forMs);
      case 'cloud-down':
        cloud.setDown(true);
        await sleep(forMs);
        cloud.setDown(false);
        return;
      case 'runner-crash':
        return storeWriter.crash(target, forMs);
      case 'runner-drain':
        return storeWriter.drain(target, forMs);
      case 'configure':
        storeWriter.configure();
        return;
      case 'configure-timeouts':
      case 'configure-attempts':
      case 'configure-idle':
      case 'configure-moves':
      case 'configure-removes':
      case 'configure-keys':
      case 'configure-caps':
        return storeWriter.change(kind, target, forMs);
      case 'configure-series':
        return storeWriter.changeInSeries(target, forMs);
      case 'runner-endless':
      case 'runners-endless':
      case 'store-endless':
      case 'caller-endless':
      case 'caller-slow-body':
        return this.#options.endless.inject(fault);
      case 'domain-evacuated':
        return this.#evacuate(target, forMs);
      case 'odd-entry':
        return storeWriter.leaveOddEntry(target, forMs);
      case 'runner-silent':
        return this.#silence(target, forMs);
      case 'runner-repeats-refusal':
        return this.#runnerFault([target], 'repeats-refusal', forMs);
      case 'streams-restart':
        return this.#runnerFault([...storeWriter.targets], 'restart', forMs);
      case 'streams-fail-resumed':
        return this.#runnerFault([...storeWriter.targets], 'fail-resumed', forMs);
      case 'streams-empty-resumed':
        return this.#runnerFault([...storeWriter.targets], 'empty-resumed', forMs);
      case 'runner-limit':
        return this.#limitRunner(target, forMs);
      case 'prompt-crash':
        return this.#sendCrashing(forMs, (count) => ({ crashingPart: `bad${count.toString(16)}` }));
      case 'request-crash':
        return this.#sendCrashing(forMs, (count) => ({ crashingPath: `crash${count}` }));
      case 'runner-leaves':
        return this.#leave(target, forMs);
      case 'links-cut':
        return this.#cutOff([target], 'cut', forMs);
      case 'links-dark':
        return this.#cutOff([target], 'dark', forMs);
      case 'links-refuse-new':
        return this.#cutOff([target], 'refuse-new', forMs);
      case 'links-most-cut':
        return this.#cutOff(this.#othersThan(target), 'cut', forMs);
      case 'runner-rests':
        return this.#rest([target], forMs);
      case 'runners-rest':
        return this.#rest([...storeWriter.targets], forMs);
      case 'runner-errors':
        return this.#runnerFault([target], 'errors', forMs);
      case 'runner-mute':
        return this.#runnerFault([target], 'mute', forMs);
      case 'runner-break-off':
        return this.#runnerFault([target], 'break-off', forMs);
      case 'runner-unframed':
        return this.#runnerFault([target], 'unframed', forMs);
      case 'runner-cut':
        return this.#runnerFault([target], 'cut', forMs);
      case 'runner-reset':
        return this.#runnerFault([target], 'reset', forMs);
      case 'runner-early-reset':
        return this.#resetUploads(target, forMs);
      case 'runner-invalid-status':
        return this.#runnerFault([target], 'invalid-status', forMs);
      case 'runner-spoilt-head':
        return this.#runnerFault([target], 'spoilt-head', forMs);
      default:
        return this.#linkFault(fault);
    }
  }

  #node(target: number): SoakNode | undefined {
    return this.#options.nodes[target];
  }

  #othersThan(target: number): readonly number[] {
    return [...this.#options.nodes.keys()].filter((index) => index !== target);
  }

  /** Takes the links to all runners away from some nodes, which everything else still reaches. */
  async #cutOff(targets: readonly number[], mode: RelayMode, forMs: number): Promise<void> {
    const { nodeLinks, tracker } = this.#options;
    const nodes = targets.flatMap((target) => this.#node(target)?.id ?? []);
    const links = nodeLinks
      .links()
      .filter(({ name }) => targets.some((target) => name.startsWith(`${target}-`)));
    for (const { name } of links) await nodeLinks.setFault({ name, mode, delayMs: 0 });
    const from = performance.now();
    await sleep(forMs + CONTACT_MS);
    tracker.recordCutOff({ nodes, from, until: performance.now() });
    for (const { name } of links) await nodeLinks.setFault({ name, mode: 'open', delayMs: 0 });
  }

  /** Evacuates the failure domain of a runner for a time. */
  async #evacuate(target: number, forMs: number): Promise<void> {
    const { storeWriter, tracker } = this.#options;
    const runners = storeWriter.beginEvacuation(target);
    const from = performance.now();
    await sleep(forMs);
    tracker.recordEvacuation({ runners, from, until: performance.now() });
    storeWriter.endEvacuation(target);
  }

  /** Lets runners turn requests away and ask for rest. */
  async #rest(targets: readonly number[], forMs: number): Promise<void> {
    const { storeWriter, tracker } = this.#options;
    for (const target of targets) {
      const runner = storeWriter.runnerAt(target);
      if (!runner) continue;
      runner.rest(forMs);
      tracker.recordRest(runner.id, forMs);
    }
    await sleep(forMs);
  }

  async #pause(target: number, forMs: number): Promise<void> {
    this.#node(target)?.signal('SIGSTOP');
    await sleep(forMs);
    this.#node(target)?.signal('SIGCONT');
  }

  async #rollingStop(first: number, forMs: number): Promise<void> {
    const stops = rollingStops({ nodes: this.#options.nodes.length, first, forMs });
    const stopped = stops.map(async ({ node, atMs }) => {
      await sleep(atMs);
      this.#node(node)?.signal('SIGTERM');
    });
    await Promise.all(stopped);
  }

  /** Replaces the nodes of the version in production one after another. */
  async #upgrade(): Promise<void> {
    for (const node of this.#options.nodes) {
      node.upgrade();
      await sleep(UPGRADE_GAP_MS);
    }
  }

  async #storeFault(fault: StoreFault, forMs: number): Promise<void> {
    this.#options.store.setFault(fault);
    await sleep(forMs);
    this.#options.store.setFault('none');
  }

  /** Brings the store back from an older copy; writers repeat what they have written since. */
  async #restoreStore(forMs: number): Promise<void> {
    const { store, storeWriter } = this.#options;
    const copy = store.copy();
    await sleep(forMs);
    store.setFault('reset');
    await sleep(STORE_AWAY_MS);
    store.restore(copy);
    store.setFault('none');
    await storeWriter.repeatNewest();
  }

  async #runnerFault(targets: readonly number[], mode: RunnerMode, forMs: number): Promise<void> {
    const runners = targets.map((target) => this.#options.storeWriter.runnerAt(target));
    for (const runner of runners) runner?.setMode(mode);
    await sleep(forMs);
    for (const runner of runners) runner?.setMode('sound');
  }

  /** Lets a sound runner read and write nothing for a time; then it goes on. */
  async #silence(target: number, forMs: number): Promise<void> {
    const { relay, storeWriter } = this.#options;
    const name = `runner-${target}`;
    storeWriter.runnerAt(target)?.fallSilent(forMs);
    await relay.setFault({ name, mode: 'paused', delayMs: 0 });
    await sleep(forMs);
    await relay.setFault({ name, mode: 'open', delayMs: 0 });
  }

  async #limitRunner(target: number, forMs: number): Promise<void> {
    const { storeWriter, tracker } = this.#options;
    const runner = storeWriter.runnerAt(target);
    if (!runner) return;
    runner.setLimit(LIMIT_PER_S);
    tracker.recordLimit(runner.id, LIMIT_PER_S);
    await sleep(forMs + CONTACT_MS);
    tracker.recordLimit(runner.id, undefined);
    runner.setLimit(undefined);
  }

  /** Lets a runner say that it is leaving, while its entry stays as it is; then it starts anew. */
  async #leave(target: number, forMs: number): Promise<void> {
    const { storeWriter, tracker } = this.#options;
    const runner = storeWriter.runnerAt(target);
    if (!runner) return;
    runner.setLeaving(true);
    await sleep(forMs + CONTACT_MS);
    tracker.recordLeft(runner.id);
    runner.setLeaving(false);
    await storeWriter.crash(target, RESTART_MS);
  }

  /** Lets a runner answer and reset connections while requests are being sent, some of which are long. */
  async #resetUploads(target: number, forMs: number): Promise<void> {
    this.#uploading += 1;
    const caller = this.#options.startUploadingCaller(`upload${this.#uploading}`);
    await this.#runnerFault([target], 'early-reset', forMs);
    await caller.close();
  }

  async #sendCrashing(forMs: number, causeOf: (count: number) => CrashCause): Promise<void> {
    this.#crashing += 1;
    const caller = this.#options.startCrashingCaller(causeOf(this.#crashing));
    await sleep(forMs + CONTACT_MS);
    await caller.close();
  }

  async #linkFault({ kind, forMs, target }: PlannedFault): Promise<void> {
    const { relay } = this.#options;
    const name = kind.startsWith('store') ? `store-${target}` : `runner-${target}`;
    const mode: RelayMode = kind.endsWith('cut')
      ? 'cut'
      : kind.endsWith('silent')
        ? 'silent'
        : kind.endsWith('one-way')
          ? 'one-way-request-only'
          : 'open';
    const delayMs = kind.endsWith('slow') ? SLOW_LINK_MS : 0;
    await relay.setFault({ name, mode, delayMs });
    await sleep(forMs);
    await relay.setFault({ name, mode: 'open', delayMs: 0 });
  }
}
