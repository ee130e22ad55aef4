import { readFile } from 'node:fs/promises';
import { FileUnreadable } from '../errors/file-unreadable.ts';

/**
 * Content of the file at `path`.
 * @throws {@link FileUnreadable}
 */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    throw new FileUnreadable(path, error);
  }
}
