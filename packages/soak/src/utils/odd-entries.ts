const NESTING_LEVELS = 60_000;

function entryAt(address: string): string {
  return JSON.stringify({ ...FIELDS, address });
}

function entryWith(field: string, value: string): string {
  return `${JSON.stringify({ ...FIELDS, address: '127.0.0.1:9' }).slice(0, -1)},"${field}":${value}}`;
}

const FIELDS = {
  service: 'work',
  zone: 'a',
  version: 'v1',
  slots: 32,
  state: 'ready',
  born: 1,
};

/** Entries of runners that another writer left in the store and that no runner stands behind. */
export const ODD_ENTRIES: readonly string[] = [
  entryAt('127.0.0.1:70000'),
  entryAt('127.0.0.1:0'),
  entryAt('127.0.0.1:-1'),
  entryAt('127.0.0.1:1e9'),
  entryAt('127.0.0.1'),
  entryAt(':::'),
  entryWith('slots', '-1'),
  entryWith('slots', '1e400'),
  entryWith('slots', '9007199254740993'),
  entryWith('born', '1e308'),
  entryWith('born', '12345678901234567890123456'),
  entryWith('__proto__', '{"state":"ready"}'),
  entryWith('labels', `${'['.repeat(NESTING_LEVELS)}${']'.repeat(NESTING_LEVELS)}`),
  '['.repeat(NESTING_LEVELS),
  'null',
];
