import * as z from 'zod';
import type { NumericSettingOptions } from '../types/numeric-setting-options.ts';

/** Time in milliseconds. */
export function durationSetting({ min, max, fallback, doc, unit = 'ms' }: NumericSettingOptions) {
  return z.number().int().min(min).max(max).default(fallback).meta({ description: doc, unit });
}
