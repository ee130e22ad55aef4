const MAX_CHARACTERS = 64;
const NOT_PRINTABLE = /[^ -~]/g;

/**
 * Quotes a text that another process has sent, for a reason or a line of the log: cut to 64 characters, in
 * printable ASCII.
 */
export function quoteText(text: string): string {
  return JSON.stringify(text.slice(0, MAX_CHARACTERS)).replace(
    NOT_PRINTABLE,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
