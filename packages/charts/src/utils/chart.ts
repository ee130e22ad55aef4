import { createMachine, initialTransition, transition } from 'xstate';
import type { AnyMachineSnapshot, AnyStateMachine } from 'xstate';
import { TransitionRefused } from '../errors/transition-refused.ts';
import type { ChartDefinition } from '../types/chart-definition.ts';

/** Running instance of a state chart. */
export class Chart {
  readonly #machine: AnyStateMachine;
  #snapshot: AnyMachineSnapshot;

  constructor(definition: ChartDefinition) {
    this.#machine = createMachine(definition as Parameters<typeof createMachine>[0]);
    [this.#snapshot] = initialTransition(this.#machine);
  }

  /** Name of the current state. */
  get state(): string {
    return String(this.#snapshot.value);
  }

  /** True if the current state is final, so that no event can change it. */
  get final(): boolean {
    return this.#snapshot.status === 'done';
  }

  /** Returns whether the current state has a transition for `event`. */
  can(event: string): boolean {
    return this.#snapshot.can({ type: event });
  }

  /**
   * Takes the transition for `event` and returns the new state.
   * @throws {@link TransitionRefused} if the current state has none.
   */
  send(event: string): string {
    if (!this.can(event)) throw new TransitionRefused(this.#machine.id, this.state, event);
    [this.#snapshot] = transition(this.#machine, this.#snapshot, { type: event });
    return this.state;
  }
}
