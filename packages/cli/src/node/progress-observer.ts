import type { ClientObserver } from '@ragwortrudder/client';
import type { Failure } from '@ragwortrudder/core';

/** Reports the progress of a request on stderr. */
export class ProgressObserver implements ClientObserver {
  connecting(node: string, isResume: boolean): void {
    this.writeLine(isResume ? `reading on at ${node}` : `sending to ${node}`);
  }

  failed(node: string, failure: Failure): void {
    this.writeLine(`${node}: ${failure.message} [${failure.code}]`);
  }

  /** Writes one line to stderr, marked as a comment. */
  writeLine(text: string): void {
    process.stderr.write(`# ${text}\n`);
  }
}
