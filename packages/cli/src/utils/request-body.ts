import { UsageInvalid } from '../errors/usage-invalid.ts';
import type { RequestOptions } from '../types/request-options.ts';
import { parseJson } from './parse-json.ts';

type Body = Readonly<Record<string, unknown>>;

function inputOf({ prompt, 'max-tokens': maxTokens, operation, payload }: RequestOptions): Body {
  if (prompt !== undefined) return { prompt, maxTokens };
  if (operation === undefined) {
    throw new UsageInvalid('give --prompt for a model, or --operation for an application');
  }
  return {
    operation,
    payload: payload === undefined ? undefined : parseJson(payload, '--payload'),
  };
}

/**
 * Builds the request body from the command-line options.
 * @throws {@link UsageInvalid} if neither a prompt nor an operation is given.
 */
export function requestBody(options: RequestOptions): Body {
  const body = { ...inputOf(options), class: options.class, deadlineMs: options.deadline };
  return Object.fromEntries(Object.entries(body).filter(([, value]) => value !== undefined));
}
