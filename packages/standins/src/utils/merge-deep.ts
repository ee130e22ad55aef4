type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Merges `over` into `base`; objects are merged, everything else is replaced. */
export function mergeDeep(base: JsonObject, over: JsonObject): JsonObject {
  const merged = Object.entries(over).map(([key, value]) => {
    const old = base[key];
    return [key, isObject(old) && isObject(value) ? mergeDeep(old, value) : value] as const;
  });
  return { ...base, ...Object.fromEntries(merged) };
}
