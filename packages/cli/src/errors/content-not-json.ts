import { InvalidInput } from '@ragwortrudder/core';

/** Text that should be JSON and is not. */
export class ContentNotJson extends InvalidInput {
  constructor(source: string, cause: unknown) {
    super(`${source} is not JSON`, [cause instanceof Error ? cause.message : String(cause)]);
  }
}
