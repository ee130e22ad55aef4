import { isFieldText } from './is-field-text.ts';
import { quoteText } from './quote-text.ts';

/** Name of a field (RFC 9110, section 5.6.2). */
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;

/**
 * Returns why fields of a head or trailer, given as alternating names and values, are not valid; undefined
 * if they are. Which of them a parser lets through depends on its version and options.
 */
export function invalidFieldsReason(fields: readonly string[]): string | undefined {
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? '';
    if (!TOKEN.test(name)) return `field name ${quoteText(name)} is not a token`;
    if (!isFieldText(fields[index + 1] ?? '')) {
      return `value of field ${quoteText(name)} has a control character`;
    }
  }
  return undefined;
}
