type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Merges `overrides` into `base`: objects are merged recursively, all other values are replaced. */
export function mergeDeep(base: JsonObject, overrides: JsonObject): JsonObject {
  const merged = Object.entries(overrides).map(([key, value]) => {
    const current = base[key];
    return [key, isObject(current) && isObject(value) ? mergeDeep(current, value) : value] as const;
  });
  return { ...base, ...Object.fromEntries(merged) };
}
