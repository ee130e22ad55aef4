import type { ResponseHead } from '../types/response-head.ts';
import { isEventStream } from './is-event-stream.ts';

const OK = 200;

/** Whether a successful response can go on with an event stream of which a part has been sent. */
export function continuesStream({ status, contentType, headers }: ResponseHead): boolean {
  const isEncoded = headers.some((name, index) => {
    return index % 2 === 0 && name.toLowerCase() === 'content-encoding';
  });
  return status === OK && isEventStream(contentType) && !isEncoded;
}
