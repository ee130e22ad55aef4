import type * as z from 'zod';
import { NodeReport } from '../types/node-report.ts';
import { isCommonReport } from './is-common-report.ts';

/** Checks a report of a peer; the schema is only used for reports with fields that few have. */
export function parseNodeReport(value: unknown): z.ZodSafeParseResult<NodeReport> {
  if (isCommonReport(value)) return { success: true, data: value as NodeReport };
  return NodeReport.safeParse(value);
}
