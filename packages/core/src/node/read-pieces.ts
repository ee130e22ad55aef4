import { CallFailure } from '../errors/call-failure.ts';
import type { ReceivedResponse } from '../types/received-response.ts';
import { incompleteBodyReason } from '../utils/incomplete-body-reason.ts';
import { invalidFieldsReason } from '../utils/invalid-fields-reason.ts';
import { invalidResponseReason } from '../utils/invalid-response-reason.ts';
import { responseFraming } from '../utils/response-framing.ts';
import { readTurns } from './read-turns.ts';

/**
 * Reads a response in pieces, each of them all that has arrived, so that small chunks are not handled one
 * by one; waits for a turn of the event loop before each.
 * @throws {@link CallFailure} before the first piece if the head is invalid, and after the last one if
 * the body is not complete.
 */
export async function* readPieces({
  request,
  response,
  connection,
  interim,
}: ReceivedResponse): AsyncGenerator<Buffer> {
  const { socket, statusCode: status = 0, headers } = response;
  const headReason = interim.malformedReason ?? invalidResponseReason(response);
  if (headReason !== undefined) {
    response.destroy();
    throw new CallFailure({ reason: 'invalid-response', message: headReason });
  }
  for await (const piece of response as AsyncIterable<Buffer>) {
    yield piece;
    await readTurns.wait(socket);
  }
  const framing = responseFraming({ method: request.method, status, headers });
  const message = incompleteBodyReason({
    framing,
    hasFramingEnded: connection.hasFramingEnded(framing),
    connection: connection.state,
  });
  if (message !== undefined) throw new CallFailure({ reason: 'incomplete', message });
  const trailerReason = invalidFieldsReason(response.rawTrailers);
  if (trailerReason !== undefined) {
    throw new CallFailure({ reason: 'invalid-response', message: trailerReason });
  }
}
