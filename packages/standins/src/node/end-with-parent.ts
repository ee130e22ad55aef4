interface Unrefable {
  unref?(): void;
}

/** Exits when the parent process ends, which closes the pipe to stdin. */
export function endWithParent(): void {
  if (process.env.STANDINS_END_WITH_PARENT !== 'true') return;
  process.stdin.once('end', () => process.exit(1));
  process.stdin.resume();
  (process.stdin as Unrefable).unref?.();
}
