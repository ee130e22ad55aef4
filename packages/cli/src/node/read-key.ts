import { KeyMissing } from '../errors/key-missing.ts';
import { readText } from './read-text.ts';

const VARIABLE = 'RAGWORTRUDDER_KEY';

/**
 * Key of the caller, from a file or else from the environment; never from an argument, which other
 * users of the machine could see.
 * @throws {@link KeyMissing}
 */
export async function readKey(keyFile: string | undefined): Promise<string> {
  const text = keyFile === undefined ? process.env[VARIABLE] : await readText(keyFile);
  const key = text?.trim() ?? '';
  if (key === '') throw new KeyMissing();
  return key;
}
