/** Returns the own property `key` of a record; undefined for inherited names. */
export function getOwn<T>(
  record: Readonly<Record<string, T>>,
  key: string | number,
): T | undefined {
  return Object.hasOwn(record, key) ? record[key] : undefined;
}
