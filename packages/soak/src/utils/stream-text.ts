/** Returns the text of one server-sent event of a stream. */
export function streamText(requestId: string, event: number, events: number): string {
  return `id: ${event}\ndata: ${requestId} ${event}/${events}\n\n`;
}
