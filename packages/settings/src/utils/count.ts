import * as z from 'zod';
import type { Range } from '../types/range.ts';

/** Whole number of things. */
export function count({ min, max, fallback, doc, unit = 'number' }: Range) {
  return z.number().int().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
