function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}

/** Serializes `value` as JSON with sorted keys, so that equal values produce equal text. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(sortKeys(value));
}
