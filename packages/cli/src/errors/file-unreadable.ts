import { Failure } from '@ragwortrudder/core';

/** A file that cannot be read. */
export class FileUnreadable extends Failure {
  readonly code = 'file-unreadable';

  constructor(path: string, cause: unknown) {
    const reason = cause instanceof Error && 'code' in cause ? String(cause.code) : 'unknown';
    super(`cannot read ${path} (${reason})`, {
      cause,
      hint: 'check that the file exists and that you have permission to read it',
    });
  }
}
