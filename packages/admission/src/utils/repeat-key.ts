import { REPEAT_KEY_PREFIX } from './repeat-key-prefix.ts';

/** Key of a whole request among the prompt parts that may crash runners; its repeats share it. */
export function repeatKey(fingerprint: string): string {
  return `${REPEAT_KEY_PREFIX}${fingerprint}`;
}
