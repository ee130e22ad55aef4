import { ContentNotJson } from '../errors/content-not-json.ts';

/**
 * Parses JSON; `source` identifies the input in the error message.
 * @throws {@link ContentNotJson}
 */
export function parseJson(text: string, source: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    throw new ContentNotJson(source, error);
  }
}
