import { KeyMissing } from '../errors/key-missing.ts';
import { readText } from './read-text.ts';

const KEY_VARIABLE = 'RAGWORTRUDDER_KEY';

/**
 * Reads the caller's key from a file or, if none is given, from the environment. A key is never passed
 * as an argument, because other users of the machine can see the arguments of a process.
 * @throws {@link KeyMissing}
 */
export async function readKey(keyFile: string | undefined): Promise<string> {
  const text = keyFile === undefined ? process.env[KEY_VARIABLE] : await readText(keyFile);
  const key = text?.trim() ?? '';
  if (key === '') throw new KeyMissing();
  return key;
}
