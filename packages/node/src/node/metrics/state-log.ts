import createDebug from 'debug';
import { inject, injectable } from 'inversify';
import type { Settings } from '@ragwortrudder/settings';
import { tokens } from '../../types/tokens.ts';
import { Metrics } from './metrics.ts';

const debug = createDebug('ragwortrudder:state');

/** Counts each state change and writes one structured log line for it. */
@injectable()
export class StateLog {
  readonly #node: string;
  readonly #metrics: Metrics;

  constructor(@inject(tokens.settings) settings: Settings, @inject(Metrics) metrics: Metrics) {
    this.#node = settings.node.id;
    this.#metrics = metrics;
  }

  record(change: StateChange): void {
    this.#metrics.count('state_changes', { kind: change.kind, state: change.state });
    debug('%j', { node: this.#node, ...change });
  }
}

interface StateChange {
  /** Kind of the object that changed, for example `request` or `member`. */
  readonly kind: string;
  readonly subject: string;
  readonly state: string;
  readonly reason?: string;
}
