const EVENT_STREAM = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Whether a body of this content type is read as server-sent events; a missing type counts as one. */
export function isEventStream(contentType: string | undefined): boolean {
  return contentType === undefined || EVENT_STREAM.test(contentType);
}
