import type { AnswerEvent } from '@ragwortrudder/client';
import { RequestFailed } from '../errors/request-failed.ts';
import { FailedOutcome } from '../types/failed-outcome.ts';

/** Prints the events of an answer as they arrive. */
export class AnswerPrinter {
  readonly #json: boolean;
  #hasText = false;

  constructor(json: boolean) {
    this.#json = json;
  }

  /**
   * Prints one event.
   * @throws {@link RequestFailed} for an event of type `failed`.
   */
  printEvent(event: AnswerEvent): void {
    if (this.#json) process.stdout.write(`${JSON.stringify(event)}\n`);
    else this.#print(event);
    if (event.type === 'failed') {
      throw new RequestFailed(FailedOutcome.parse(event.data.outcome));
    }
  }

  #print({ type, data, node }: AnswerEvent): void {
    if (type === 'accepted') process.stderr.write(`# accepted at ${node}: ${String(data.id)}\n`);
    if (type === 'result') process.stdout.write(`${JSON.stringify(data.result)}\n`);
    if (type === 'token') {
      process.stdout.write(`${this.#hasText ? ' ' : ''}${String(data.text)}`);
      this.#hasText = true;
    }
    const isLast = type === 'done' || type === 'failed';
    if (isLast && this.#hasText) process.stdout.write('\n');
    if (type === 'done') process.stderr.write(`# done: ${String(data.tokens)} tokens\n`);
  }
}
