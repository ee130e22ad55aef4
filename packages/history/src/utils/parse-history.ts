import { InvalidInput } from '@ragwortrudder/core';
import { HistoryEvent } from '../types/history-event.ts';

function parseLine(line: string, place: string): HistoryEvent {
  let data: unknown;
  try {
    data = JSON.parse(line);
  } catch {
    throw new InvalidInput('history is not valid', [`${place}: not JSON`]);
  }
  const parsed = HistoryEvent.safeParse(data);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(
    ({ path, message }) => `${place}: ${path.join('.')}: ${message}`,
  );
  throw new InvalidInput('history is not valid', problems);
}

/** Parses JSON lines; an incomplete last line, left by a killed process, is dropped. */
export function parseHistory(text: string, name: string): readonly HistoryEvent[] {
  const lines = text.split('\n').slice(0, -1);
  return lines.map((line, index) => parseLine(line, `${name}:${index + 1}`));
}
