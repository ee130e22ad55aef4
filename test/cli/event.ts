/** Formats one server-sent event of a node. */
export function event(id: string, type: string, data: unknown): string {
  return `id: ${id}\nevent: ${type}\ndata: ${JSON.stringify(data)}\n\n`;
}
