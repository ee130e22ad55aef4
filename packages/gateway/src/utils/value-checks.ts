import type { ValueCheck } from '../types/value-check.ts';
import { MAX_PORT } from './max-port.ts';
import { MAX_TEXT_LENGTH } from './max-text-length.ts';

interface FieldChecks {
  readonly required: Readonly<Record<string, ValueCheck>>;
  readonly optional: Readonly<Record<string, ValueCheck>>;
}

/** A key that schemas and assignments treat in their own way. */
const PROTOTYPE_KEY = '__proto__';

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isAmount(value: unknown): boolean {
  return (
    typeof value === 'number' &&
    value >= Number.MIN_SAFE_INTEGER &&
    value <= Number.MAX_SAFE_INTEGER
  );
}

function isOrdinal(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

function isPort(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) >= 1 && Number(value) <= MAX_PORT;
}

function isBoolean(value: unknown): boolean {
  return typeof value === 'boolean';
}

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isEmptyRecord(value: unknown): boolean {
  return isPlainObject(value) && Object.keys(value).length === 0;
}

function recordOf(isItem: ValueCheck): ValueCheck {
  return (value) => {
    if (!isPlainObject(value)) return false;
    for (const key of Object.keys(value)) {
      if (!isText(key) || key === PROTOTYPE_KEY || !isItem(value[key])) return false;
    }
    return true;
  };
}

function listOf(isItem: ValueCheck): ValueCheck {
  return (value) => Array.isArray(value) && value.every((item) => isItem(item));
}

function tupleOf(...checks: readonly ValueCheck[]): ValueCheck {
  return (value) =>
    Array.isArray(value) &&
    value.length === checks.length &&
    checks.every((isItem, index) => isItem(value[index]));
}

/** An object with all required fields, and no field that is not named. */
function objectOf({ required, optional }: FieldChecks): ValueCheck {
  const names = Object.keys(required);
  const known = new Map(Object.entries({ ...required, ...optional }));
  return (value) => {
    if (!isPlainObject(value)) return false;
    for (const key of Object.keys(value)) {
      const isField = known.get(key);
      if (!isField?.(value[key])) return false;
    }
    return names.every((name) => Object.hasOwn(value, name));
  };
}

/**
 * Checks of values for messages that arrive many times a second, at a small part of the cost of a
 * schema. They build no result and give no reason: what they do not accept, the schema decides.
 */
export const VALUE_CHECKS = {
  isText,
  isAmount,
  isOrdinal,
  isPort,
  isBoolean,
  isEmptyRecord,
  recordOf,
  listOf,
  tupleOf,
  objectOf,
} as const;
