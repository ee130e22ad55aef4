/** Parses the JSON of a record; undefined when there is none or it cannot be read. */
export function decodeJson(bytes: Uint8Array | undefined): unknown {
  if (!bytes) return undefined;
  try {
    return JSON.parse(Buffer.from(bytes).toString()) as unknown;
  } catch {
    return undefined;
  }
}
