import type { LedgerEntry } from '../types/ledger-entry.ts';
import type { ListedVm } from '../types/listed-vm.ts';
import type { StartReply } from '../types/start-reply.ts';
import type { StartVm } from '../types/start-vm.ts';
import type { StopVm } from '../types/stop-vm.ts';
import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyLedgerOptions } from '../types/supply-ledger-options.ts';
import type { SupplyVm } from '../types/supply-vm.ts';
import type { VmRefusal } from '../types/vm-refusal.ts';
import { kindKey } from './kind-key.ts';

const DEFAULT_RESEND_MS = 1000;
const DEFAULT_UNLISTED_MS = 120_000;
const DEFAULT_RETURN_AFTER_MS = 60_000;
/** Starts that are over and are kept for status pages. */
const MAX_FINAL = 256;

/**
 * Follows every start and return of VMs through lost replies and a lagging list. A start without
 * an answer is sent again under the same request id until the platform names the VM or refuses;
 * until then it counts as held, so that no plan asks for it twice.
 */
export class SupplyLedger {
  readonly #resendMs: number;
  readonly #unlistedMs: number;
  readonly #returnAfterMs: number;
  readonly #entries = new Map<string, LedgerEntry>();
  readonly #refusals = new Map<string, VmRefusal>();
  readonly #surplusSince = new Map<string, number>();
  /** VMs to be returned, with the time before which the return is not sent again. */
  readonly #stopping = new Map<string, number>();
  #nextSequence = 0;

  constructor(options: SupplyLedgerOptions = {}) {
    this.#resendMs = options.resendMs ?? DEFAULT_RESEND_MS;
    this.#unlistedMs = options.unlistedMs ?? DEFAULT_UNLISTED_MS;
    this.#returnAfterMs = options.returnAfterMs ?? DEFAULT_RETURN_AFTER_MS;
  }

  /** Number of the next request id. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Refusals by kind since the last start that succeeded. */
  get refusals(): readonly VmRefusal[] {
    return [...this.#refusals.values()];
  }

  /** Life of a start, for status pages and tests. */
  entry(requestId: string): LedgerEntry | undefined {
    return this.#entries.get(requestId);
  }

  /** Takes over a plan; returns begin once their VMs have been surplus for long enough. */
  accept(actions: readonly SupplyAction[], now: number): void {
    const stops = new Set<string>();
    for (const action of actions) {
      if (action.action === 'start') this.#acceptStart(action);
      else stops.add(action.vmId);
    }
    for (const vmId of this.#surplusSince.keys()) {
      if (!stops.has(vmId)) this.#surplusSince.delete(vmId);
    }
    for (const vmId of stops) this.#acceptStop(vmId, now);
  }

  /** Takes over a VM that a predecessor started and that the platform named when asked. */
  adopt(start: StartVm, vmId: string, now: number): void {
    const notBefore = now + this.#unlistedMs;
    this.#entries.set(start.requestId, { start, state: 'started', vmId, notBefore, attempts: 1 });
  }

  /** Starts that are to be sent now, each under its own unchanging request id. */
  dueStarts(now: number): readonly StartVm[] {
    const entries = [...this.#entries.values()];
    return entries
      .filter(
        ({ state, notBefore }) => (state === 'unsent' || state === 'unknown') && notBefore <= now,
      )
      .map(({ start }) => start);
  }

  /** Returns that are to be sent now. */
  dueStops(now: number): readonly StopVm[] {
    const due = [...this.#stopping].filter(([, notBefore]) => notBefore <= now);
    return due.map(([vmId]) => ({ action: 'stop', vmId }));
  }

  /** Monotonic time at which something is due next. */
  nextWakeAt(): number {
    const starts = [...this.#entries.values()]
      .filter(({ state }) => state === 'unsent' || state === 'unknown')
      .map(({ notBefore }) => notBefore);
    return Math.min(Infinity, ...starts, ...this.#stopping.values());
  }

  /** Notes that a start was sent. Call it before the request leaves. */
  startSent(requestId: string, now: number): void {
    const entry = this.#entries.get(requestId);
    if (!entry) return;
    const attempts = entry.attempts + 1;
    const notBefore = now + this.#resendMs;
    this.#entries.set(requestId, { ...entry, state: 'unknown', attempts, notBefore });
  }

  /** Takes in the reply to a start, or its loss. `wallNow` dates a refusal. */
  startReplied(requestId: string, reply: StartReply, now: number, wallNow: number): void {
    const entry = this.#entries.get(requestId);
    if (entry?.state !== 'unknown') return;
    switch (reply.kind) {
      case 'started': {
        const notBefore = now + this.#unlistedMs;
        const { vmId } = reply;
        this.#entries.set(requestId, { ...entry, state: 'started', vmId, notBefore });
        this.#refusals.delete(kindKey(entry.start));
        return;
      }
      case 'refused':
        this.#entries.set(requestId, { ...entry, state: 'refused' });
        this.#refused(entry.start, wallNow);
        return;
      case 'throttled':
        this.#entries.set(requestId, { ...entry, notBefore: now + reply.retryAfterMs });
        return;
      case 'lost':
        this.#entries.set(requestId, { ...entry, notBefore: now + this.#resendMs });
    }
  }

  /** Notes that a return was sent; it is repeated until the VM leaves the list or is confirmed. */
  stopSent(vmId: string, now: number): void {
    if (this.#stopping.has(vmId)) this.#stopping.set(vmId, now + this.#resendMs);
  }

  /** Notes that the platform confirmed a return. */
  stopConfirmed(vmId: string): void {
    if (this.#stopping.has(vmId)) this.#stopping.set(vmId, Infinity);
  }

  /**
   * Merges the platform's lagging list with what is known: VMs being returned are left out, and
   * starts that the list does not show yet are added.
   */
  current(listed: readonly ListedVm[], now: number): readonly SupplyVm[] {
    const listedIds = new Set(listed.map(({ id }) => id));
    this.#observe(listedIds, now);
    const held: SupplyVm[] = listed.filter(({ id }) => !this.#stopping.has(id));
    for (const { start, state, vmId } of this.#entries.values()) {
      const isOpen = state === 'unsent' || state === 'unknown' || state === 'started';
      if (!isOpen || (vmId !== undefined && this.#stopping.has(vmId))) continue;
      const { failureDomain, machineClass, reclaimable, labels, requestId } = start;
      const id = vmId ?? requestId;
      held.push({ id, failureDomain, machineClass, reclaimable, labels, state: 'pending' });
    }
    return held;
  }

  #acceptStart(start: StartVm): void {
    if (this.#entries.has(start.requestId)) return;
    this.#nextSequence += 1;
    this.#entries.set(start.requestId, {
      start,
      state: 'unsent',
      notBefore: -Infinity,
      attempts: 0,
    });
  }

  #acceptStop(vmId: string, now: number): void {
    if (this.#stopping.has(vmId)) return;
    const since = this.#surplusSince.get(vmId) ?? now;
    this.#surplusSince.set(vmId, since);
    if (now - since < this.#returnAfterMs) return;
    this.#surplusSince.delete(vmId);
    this.#stopping.set(vmId, now);
  }

  #refused(start: StartVm, wallNow: number): void {
    const key = kindKey(start);
    const count = (this.#refusals.get(key)?.count ?? 0) + 1;
    const { failureDomain, machineClass, reclaimable } = start;
    this.#refusals.set(key, { failureDomain, machineClass, reclaimable, count, lastAt: wallNow });
  }

  #observe(listedIds: ReadonlySet<string>, now: number): void {
    for (const [requestId, entry] of this.#entries) {
      const { state, vmId, notBefore } = entry;
      if (vmId === undefined) continue;
      const isListed = listedIds.has(vmId);
      if (state === 'started' && isListed)
        this.#entries.set(requestId, { ...entry, state: 'listed' });
      const isLost = state === 'started' && !isListed && now >= notBefore;
      const isReturned = this.#stopping.get(vmId) === Infinity;
      const isGone = isReturned || (state === 'listed' && !isListed);
      if (isLost || isGone) this.#entries.set(requestId, { ...entry, state: 'gone' });
    }
    for (const [vmId, notBefore] of this.#stopping) {
      if (notBefore === Infinity && !listedIds.has(vmId)) this.#stopping.delete(vmId);
    }
    this.#prune();
  }

  #prune(): void {
    const final = [...this.#entries].filter(
      ([, { state }]) => state === 'refused' || state === 'gone',
    );
    for (const [requestId] of final.slice(0, -MAX_FINAL)) this.#entries.delete(requestId);
  }
}
