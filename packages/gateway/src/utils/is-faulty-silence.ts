import type { Silence } from '../types/silence.ts';

const FAULTY_SILENCES: ReadonlySet<Silence> = new Set(['connection', 'runner-for-long']);

/** No sound runner is silent in this way. */
export function isFaultySilence(silence: Silence): boolean {
  return FAULTY_SILENCES.has(silence);
}
