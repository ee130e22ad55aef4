import type { ExecutionContext } from 'ava';

/**
 * Lets only some of the tests of a file run at a time: all gateways of a file share one process, whose
 * processor time the bounds of the tests depend on.
 */
export function limitConcurrency(limit: number): (t: ExecutionContext) => Promise<void> {
  let free = limit;
  const waiting: (() => void)[] = [];
  return async (t) => {
    if (free === 0) await new Promise<void>((resolve) => waiting.push(resolve));
    else free -= 1;
    t.teardown(() => {
      const next = waiting.shift();
      if (next) next();
      else free += 1;
    });
  };
}
