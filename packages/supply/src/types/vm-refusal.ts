import type { VmKind } from './vm-kind.ts';

/** Refusals of one kind of VM since its last successful start. */
export interface VmRefusal extends VmKind {
  readonly count: number;
  /** Wall-clock time of the last refusal in milliseconds. */
  readonly lastAt: number;
}
