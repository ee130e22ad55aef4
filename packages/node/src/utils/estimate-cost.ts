import type { RequestInput } from '@ragwortrudder/requests';
import { countTokens } from './count-tokens.ts';

/** Number of prompt tokens that cost as much as one generated token. */
const PROMPT_TOKENS_PER_GENERATED_TOKEN = 16;

/** Estimated cost of a request: in generated tokens for a model, 1 for an application. */
export function estimateCost(input: RequestInput): number {
  if (input.kind === 'application') return 1;
  return input.maxTokens + countTokens(input.prompt) / PROMPT_TOKENS_PER_GENERATED_TOKEN;
}
