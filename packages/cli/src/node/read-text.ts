import { readFile } from 'node:fs/promises';
import { FileUnreadable } from '../errors/file-unreadable.ts';

/**
 * Reads the file at `path` as UTF-8 text.
 * @throws {@link FileUnreadable}
 */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    throw new FileUnreadable(path, error);
  }
}
