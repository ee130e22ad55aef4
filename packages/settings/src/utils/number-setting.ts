import * as z from 'zod';
import type { NumericSettingOptions } from '../types/numeric-setting-options.ts';

/** Schema of a ratio, weight or rate. */
export function numberSetting({ min, max, fallback, doc, unit = 'ratio' }: NumericSettingOptions) {
  return z.number().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
