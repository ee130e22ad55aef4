import * as z from 'zod';
import type { NumericSettingOptions } from '../types/numeric-setting-options.ts';

/** Schema of a whole-number setting. */
export function integerSetting({
  min,
  max,
  fallback,
  doc,
  unit = 'number',
}: NumericSettingOptions) {
  return z.number().int().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
