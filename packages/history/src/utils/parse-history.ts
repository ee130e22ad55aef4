import { InvalidInput } from '@ragwortrudder/core';
import { HistoryEvent } from '../types/history-event.ts';

function parseLine(line: string, location: string): HistoryEvent {
  let data: unknown;
  try {
    data = JSON.parse(line);
  } catch {
    throw new InvalidInput('history is not valid', [`${location}: not JSON`]);
  }
  const parsed = HistoryEvent.safeParse(data);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(
    ({ path, message }) => `${location}: ${path.join('.')}: ${message}`,
  );
  throw new InvalidInput('history is not valid', problems);
}

/** Parses JSON lines. Ignores an incomplete last line, left by a process killed during a write. */
export function parseHistory(text: string, name: string): readonly HistoryEvent[] {
  const lines = text.split('\n').slice(0, -1);
  return lines.map((line, index) => parseLine(line, `${name}:${index + 1}`));
}
