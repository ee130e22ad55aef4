import { isUtf8 } from 'node:buffer';

/** Bounds of {@link parseBoundedJson}. */
interface JsonBounds {
  /**
   * Size of the text, in bytes.
   * @default 16777216
   */
  readonly maxBytes?: number;
  /**
   * Levels of nested lists and objects.
   * @default 32
   */
  readonly maxDepth?: number;
}

const DEFAULT_MAX_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAX_DEPTH = 32;
const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

function isDeeper(bytes: Uint8Array, maxDepth: number): boolean {
  let depth = 0;
  let isInText = false;
  for (let index = 0; index < bytes.length; index += 1) {
    const byte = bytes[index] ?? 0;
    if (isInText) {
      if (byte === BACKSLASH) index += 1;
      else if (byte === QUOTE) isInText = false;
    } else if (byte === QUOTE) {
      isInText = true;
    } else if (byte === OPENING_BRACKET || byte === OPENING_BRACE) {
      depth += 1;
      if (depth > maxDepth) return true;
    } else if (byte === CLOSING_BRACKET || byte === CLOSING_BRACE) {
      depth -= 1;
    }
  }
  return false;
}

/**
 * Parses JSON that somebody else has written; undefined when the bytes are not UTF-8 or not JSON, too
 * many, or nested too deeply. Code that walks a value recursively would run out of stack on deep ones.
 */
export function parseBoundedJson(
  bytes: Uint8Array,
  { maxBytes = DEFAULT_MAX_BYTES, maxDepth = DEFAULT_MAX_DEPTH }: JsonBounds = {},
): unknown {
  if (bytes.length > maxBytes || !isUtf8(bytes) || isDeeper(bytes, maxDepth)) return undefined;
  try {
    return JSON.parse(
      Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString(),
    ) as unknown;
  } catch {
    return undefined;
  }
}
