import { parseBoundedJson } from '@ragwortrudder/core';

/** Parses the JSON of a record; undefined when there is none or it cannot be used. */
export function decodeJson(bytes: Uint8Array | undefined): unknown {
  return bytes && parseBoundedJson(bytes);
}
