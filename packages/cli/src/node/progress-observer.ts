import type { ClientObserver } from '@ragwortrudder/client';
import type { Failure } from '@ragwortrudder/core';

/** Tells the progress of a request on stderr. */
export class ProgressObserver implements ClientObserver {
  connecting(node: string, isResume: boolean): void {
    this.note(isResume ? `reading on at ${node}` : `sending to ${node}`);
  }

  failed(node: string, failure: Failure): void {
    this.note(`${node}: ${failure.message} [${failure.code}]`);
  }

  /** Writes one line. */
  note(text: string): void {
    process.stderr.write(`# ${text}\n`);
  }
}
