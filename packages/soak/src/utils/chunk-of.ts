/** One chunk of a body in chunks. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
