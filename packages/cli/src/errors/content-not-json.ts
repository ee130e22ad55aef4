import { InvalidInput } from '@ragwortrudder/core';

/** The input was expected to be JSON but could not be parsed. */
export class ContentNotJson extends InvalidInput {
  constructor(source: string, cause: unknown) {
    super(`${source} is not valid JSON`, [cause instanceof Error ? cause.message : String(cause)]);
  }
}
