import * as z from 'zod';
import type { Range } from '../types/range.ts';

/** Ratio or weight. */
export function share({ min, max, fallback, doc, unit = 'ratio' }: Range) {
  return z.number().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
