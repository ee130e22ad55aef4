import { ConnectionLost } from '@ragwortrudder/client';
import { Failure, InvalidInput } from '@ragwortrudder/core';
import { FileUnreadable } from '../errors/file-unreadable.ts';
import { KeyMissing } from '../errors/key-missing.ts';
import { ListenFailed } from '../errors/listen-failed.ts';
import { MoveUndone } from '../errors/move-undone.ts';
import { UsageInvalid } from '../errors/usage-invalid.ts';
import { WatchTimeout } from '../errors/watch-timeout.ts';
import { ExitCode } from '../types/exit-code.ts';

const BY_CLASS: readonly (readonly [abstract new (...args: never[]) => Error, ExitCode])[] = [
  [UsageInvalid, ExitCode.usage],
  [KeyMissing, ExitCode.usage],
  [InvalidInput, ExitCode.invalid],
  [FileUnreadable, ExitCode.invalid],
  [ConnectionLost, ExitCode.unreachable],
  [WatchTimeout, ExitCode.timeout],
  [MoveUndone, ExitCode.undone],
  [ListenFailed, ExitCode.listen],
];

const BY_CODE: Readonly<Record<string, ExitCode>> = {
  'deadline-passed': ExitCode.timeout,
  'outcome-unknown': ExitCode.unknown,
  'invalid-input': ExitCode.invalid,
};

/** Returns the exit code for `error`. */
export function exitCodeOf(error: unknown): ExitCode {
  const classEntry = BY_CLASS.find(([type]) => error instanceof type);
  if (classEntry) return classEntry[1];
  if (!(error instanceof Failure)) return ExitCode.fault;
  return BY_CODE[error.code] ?? ExitCode.refused;
}
