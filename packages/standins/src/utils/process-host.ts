const BYTE_MASK = 0xff;

/** Returns a loopback address derived from the process id, so that no other process uses it. */
export function processHost(): string {
  const { pid } = process;
  return ['127', (pid >> 16) & BYTE_MASK, (pid >> 8) & BYTE_MASK, pid & BYTE_MASK].join('.');
}
