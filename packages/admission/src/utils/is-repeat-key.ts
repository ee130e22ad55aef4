import { REPEAT_KEY_PREFIX } from './repeat-key-prefix.ts';

/** Whether a part is the key of a whole request. */
export function isRepeatKey(part: string): boolean {
  return part.startsWith(REPEAT_KEY_PREFIX);
}
