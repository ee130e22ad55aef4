import type { ValueCheck } from '../types/value-check.ts';
import { MAX_PORT } from './max-port.ts';
import { MAX_TEXT_LENGTH } from './max-text-length.ts';

type OptionalFields<Message> = {
  [Name in keyof Message]-?: undefined extends Message[Name] ? Name : never;
}[keyof Message];

/** A check of each field, so that a field which is added later is not forgotten. */
interface FieldChecks<Message> {
  readonly required: Readonly<Record<Exclude<keyof Message, OptionalFields<Message>>, ValueCheck>>;
  readonly optional: Readonly<Record<OptionalFields<Message>, ValueCheck>>;
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

function isBoolean(value: unknown): boolean {
  return typeof value === 'boolean';
}

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Accepts nothing, so that the schema decides about messages with the field. */
function isLeftToSchema(): boolean {
  return false;
}

function numberIn(min: number, max: number): ValueCheck {
  return (value) => typeof value === 'number' && value >= min && value <= max;
}

function isWholeNumber(min: number, max: number): ValueCheck {
  return (value) => Number.isInteger(value) && Number(value) >= min && Number(value) <= max;
}

const isPort = isWholeNumber(1, MAX_PORT);

function matching(pattern: RegExp): ValueCheck {
  return (value) => typeof value === 'string' && pattern.test(value);
}

function isNull(value: unknown): boolean {
  return value === null;
}

function anyOf(...checks: readonly ValueCheck[]): ValueCheck {
  return (value) => checks.some((accepts) => accepts(value));
}

function recordOf(isItem: ValueCheck, isKey: ValueCheck = isText): ValueCheck {
  return (value) => {
    if (!isPlainObject(value)) return false;
    for (const key of Object.keys(value)) {
      if (!isKey(key) || key === PROTOTYPE_KEY || !isItem(value[key])) return false;
    }
    return true;
  };
}

function listOf(isItem: ValueCheck, maxLength = Infinity): ValueCheck {
  return (value) =>
    Array.isArray(value) && value.length <= maxLength && value.every((item) => isItem(item));
}

function tupleOf(...checks: readonly ValueCheck[]): ValueCheck {
  return (value) =>
    Array.isArray(value) &&
    value.length === checks.length &&
    checks.every((isItem, index) => isItem(value[index]));
}

/** An object with all required fields, and no field that is not named. */
function objectOf<Message>({ required, optional }: FieldChecks<Message>): ValueCheck {
  const names = Object.keys(required);
  const known = new Map<string, ValueCheck>(Object.entries({ ...required, ...optional }));
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
  isLeftToSchema,
  isNull,
  numberIn,
  isWholeNumber,
  matching,
  anyOf,
  recordOf,
  listOf,
  tupleOf,
  objectOf,
} as const;
