import { readFile } from 'node:fs/promises';
import type { History } from '../types/history.ts';
import type { HistoryEvent } from '../types/history-event.ts';
import { orderHistory } from '../utils/order-history.ts';
import { parseHistory } from '../utils/parse-history.ts';

/** Reads the history files of all processes of a run and merges them into one history. */
export async function readHistory(paths: readonly string[]): Promise<History> {
  const events: HistoryEvent[] = [];
  for (const path of paths) events.push(...parseHistory(await readFile(path, 'utf8'), path));
  return orderHistory(events);
}
