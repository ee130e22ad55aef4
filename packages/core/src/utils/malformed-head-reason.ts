import type { ReceivedHead } from '../types/received-head.ts';
import { invalidFieldsReason } from './invalid-fields-reason.ts';
import { isFieldText } from './is-field-text.ts';

const HTTP_MAJOR_VERSION = 1;

/** Returns why the head of a response, interim ones included, is malformed; undefined if it is not. */
export function malformedHeadReason({
  httpVersionMajor,
  statusMessage = '',
  rawHeaders,
}: ReceivedHead): string | undefined {
  if (httpVersionMajor !== HTTP_MAJOR_VERSION) {
    return `status line has HTTP version ${httpVersionMajor}`;
  }
  if (!isFieldText(statusMessage)) return 'status line has a control character';
  return invalidFieldsReason(rawHeaders);
}
