import { quoteText } from './quote-text.ts';

/**
 * The only transfer coding that is understood, once, with empty names before it. Requests do not offer
 * others (RFC 9112, section 7.4).
 */
const UNDERSTOOD_CODING = /^[\s,]*chunked\s*$/i;
const LENGTH = /^\d+$/;

/** Values of a field whose name, in lower case, is `name`. */
function valuesOf(rawHeaders: readonly string[], name: string): readonly string[] {
  return rawHeaders.filter(
    (_value, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );
}

/**
 * Returns why a head leaves open where its body ends or what is in it (RFC 9112, section 6.3); undefined if
 * it does not. A body in a coding that is not understood would be taken for the content itself.
 */
export function unreadableBodyReason(rawHeaders: readonly string[]): string | undefined {
  const codings = valuesOf(rawHeaders, 'transfer-encoding');
  const lengths = valuesOf(rawHeaders, 'content-length');
  const types = valuesOf(rawHeaders, 'content-type');
  if (codings.length > 0) {
    const text = codings.join(',');
    if (!UNDERSTOOD_CODING.test(text)) {
      return `transfer coding ${quoteText(text)} is not understood`;
    }
    if (lengths.length > 0) return 'head has a transfer coding and a length';
  }
  if (lengths.some((length) => !LENGTH.test(length) || length !== lengths[0])) {
    return `length ${quoteText(lengths.join(','))} is not one number`;
  }
  if (types.some((type) => type !== types[0])) return 'head has several content types';
  return undefined;
}
