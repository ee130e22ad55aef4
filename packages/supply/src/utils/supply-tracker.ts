import type { TrackedStart } from '../types/tracked-start.ts';
import type { ListedVm } from '../types/listed-vm.ts';
import type { StartReply } from '../types/start-reply.ts';
import type { StartVm } from '../types/start-vm.ts';
import type { StopVm } from '../types/stop-vm.ts';
import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyTrackerOptions } from '../types/supply-tracker-options.ts';
import type { SupplyVm } from '../types/supply-vm.ts';
import type { VmRefusal } from '../types/vm-refusal.ts';
import { kindKey } from './kind-key.ts';

const DEFAULT_RESEND_MS = 1000;
const DEFAULT_UNLISTED_MS = 120_000;
const DEFAULT_RETURN_AFTER_MS = 60_000;
/** Maximum number of finished starts that are retained for status output. */
const MAX_FINAL_ENTRIES = 256;

/**
 * Tracks every start and return of a VM despite lost replies and a stale VM list. A start without
 * a reply is resent under the same request id until the platform returns a VM id or refuses; until
 * then it counts as held, so that no plan requests the VM twice.
 */
export class SupplyTracker {
  readonly #resendMs: number;
  readonly #unlistedMs: number;
  readonly #returnAfterMs: number;
  readonly #entries = new Map<string, TrackedStart>();
  readonly #refusals = new Map<string, VmRefusal>();
  readonly #surplusSince = new Map<string, number>();
  /** VMs being returned, with the time before which the return is not resent; `Infinity` once confirmed. */
  readonly #stopping = new Map<string, number>();
  #nextSequence = 0;

  constructor(options: SupplyTrackerOptions = {}) {
    this.#resendMs = options.resendMs ?? DEFAULT_RESEND_MS;
    this.#unlistedMs = options.unlistedMs ?? DEFAULT_UNLISTED_MS;
    this.#returnAfterMs = options.returnAfterMs ?? DEFAULT_RETURN_AFTER_MS;
  }

  /** Number of the next request id. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Refusals by kind since the last successful start of that kind. */
  get refusals(): readonly VmRefusal[] {
    return [...this.#refusals.values()];
  }

  /** Returns the state of a start, for status output and tests. */
  entry(requestId: string): TrackedStart | undefined {
    return this.#entries.get(requestId);
  }

  /** Accepts the actions of a plan; a return starts once its VM has been surplus for `returnAfterMs`. */
  applyPlan(actions: readonly SupplyAction[], now: number): void {
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

  /** Adopts a VM that the previous lease holder started, as reported by the platform. */
  adopt(start: StartVm, vmId: string, now: number): void {
    const notBefore = now + this.#unlistedMs;
    this.#entries.set(start.requestId, { start, state: 'started', vmId, notBefore, attempts: 1 });
  }

  /** Returns the starts that are due to be sent or resent. */
  dueStarts(now: number): readonly StartVm[] {
    const entries = [...this.#entries.values()];
    return entries
      .filter(
        ({ state, notBefore }) => (state === 'unsent' || state === 'unknown') && notBefore <= now,
      )
      .map(({ start }) => start);
  }

  /** Returns the VM returns that are due to be sent or resent. */
  dueStops(now: number): readonly StopVm[] {
    const due = [...this.#stopping].filter(([, notBefore]) => notBefore <= now);
    return due.map(([vmId]) => ({ action: 'stop', vmId }));
  }

  /** Returns the monotonic time at which the next start or return is due. */
  nextDueAt(): number {
    const starts = [...this.#entries.values()]
      .filter(({ state }) => state === 'unsent' || state === 'unknown')
      .map(({ notBefore }) => notBefore);
    return Math.min(Infinity, ...starts, ...this.#stopping.values());
  }

  /** Records that a start is being sent. Must be called before the request is sent. */
  recordStartSent(requestId: string, now: number): void {
    const entry = this.#entries.get(requestId);
    if (!entry) return;
    const attempts = entry.attempts + 1;
    const notBefore = now + this.#resendMs;
    this.#entries.set(requestId, { ...entry, state: 'unknown', attempts, notBefore });
  }

  /** Records the reply to a start, or its loss. `wallNow` is the wall-clock time of a refusal. */
  recordStartReply(requestId: string, reply: StartReply, now: number, wallNow: number): void {
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
        this.#recordRefusal(entry.start, wallNow);
        return;
      case 'throttled':
        this.#entries.set(requestId, { ...entry, notBefore: now + reply.retryAfterMs });
        return;
      case 'lost':
        this.#entries.set(requestId, { ...entry, notBefore: now + this.#resendMs });
    }
  }

  /** Records that a return was sent; it is resent until the platform confirms it. */
  recordStopSent(vmId: string, now: number): void {
    if (this.#stopping.has(vmId)) this.#stopping.set(vmId, now + this.#resendMs);
  }

  /** Records that the platform confirmed a return. */
  recordStopConfirmed(vmId: string): void {
    if (this.#stopping.has(vmId)) this.#stopping.set(vmId, Infinity);
  }

  /**
   * Merges the platform's VM list, which may be stale, with the tracked state: omits VMs being
   * returned and adds started VMs that the list does not contain yet.
   */
  current(listed: readonly ListedVm[], now: number): readonly SupplyVm[] {
    const listedIds = new Set(listed.map(({ id }) => id));
    this.#applyListing(listedIds, now);
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

  #recordRefusal(start: StartVm, wallNow: number): void {
    const key = kindKey(start);
    const count = (this.#refusals.get(key)?.count ?? 0) + 1;
    const { failureDomain, machineClass, reclaimable } = start;
    this.#refusals.set(key, { failureDomain, machineClass, reclaimable, count, lastAt: wallNow });
  }

  #applyListing(listedIds: ReadonlySet<string>, now: number): void {
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
    const finalEntries = [...this.#entries].filter(
      ([, { state }]) => state === 'refused' || state === 'gone',
    );
    for (const [requestId] of finalEntries.slice(0, -MAX_FINAL_ENTRIES))
      this.#entries.delete(requestId);
  }
}
