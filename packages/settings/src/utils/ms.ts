import * as z from 'zod';
import type { Range } from '../types/range.ts';

/** Time in milliseconds. */
export function ms({ min, max, fallback, doc, unit = 'ms' }: Range) {
  return z.number().int().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
