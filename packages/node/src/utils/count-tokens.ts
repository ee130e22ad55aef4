/** Number of tokens in a text, counted as its whitespace-separated words. */
export function countTokens(text: string): number {
  const trimmed = text.trim();
  return trimmed === '' ? 0 : trimmed.split(/\s+/).length;
}
