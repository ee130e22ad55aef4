import { createHash } from 'node:crypto';
import { HistoryEvent } from '@ragwortrudder/history';
import type { History, HistoryRecord } from '@ragwortrudder/history';

/** Builds a single-process history from records with their timestamps. */
export function historyOf(
  ...records: readonly (readonly [at: number, record: HistoryRecord])[]
): History {
  return records.map(([at, record], seq) =>
    HistoryEvent.parse({ ...record, process: 'test', seq, at }),
  );
}

export function tokenText(prompt: string, index: number, runner = 'r1'): string {
  const hash = createHash('sha256').update(prompt).digest('hex').slice(0, 16);
  return `${hash}.${index}.${runner}`;
}

export function quote(invocation: string, prompt: string, maxTokens: number): HistoryRecord {
  return { type: 'invocation', invocation, tenant: 'novak', service: 'quotes', prompt, maxTokens };
}

export function reorder(invocation: string, key = 'k'): HistoryRecord {
  return { type: 'invocation', invocation, tenant: 'novak', service: 'orders', key };
}

export function orderRun(invocation: string, key = 'k'): HistoryRecord {
  return {
    type: 'run',
    runner: 'o1',
    service: 'orders',
    requestId: `request-of-${invocation}`,
    invocation,
    tenant: 'novak',
    key,
  };
}

type Answer = Extract<HistoryRecord, { readonly type: 'answer' }>;

export function answer(
  invocation: string,
  event: Answer['event'],
  fields: Partial<Answer> = {},
): HistoryRecord {
  return { ...fields, type: 'answer', invocation, event };
}
