import type { SchemaNode } from '../types/schema-node.ts';

const PATTERN_TEXTS: readonly (readonly [sample: string, counterexample: string, text: string])[] =
  [
    ['10.0.0.1:7000', 'name', 'an IP number and a port, for example 10.0.0.1:7000'],
    ['a-name', 'not/a-name', '1 to 64 letters, digits, "-" and "_"'],
    ['sixteen-letters/', 'short', '16 to 256 characters without whitespace'],
  ];
const FORMAT_TEXTS: Readonly<Record<string, string>> = {
  uri: 'a URL that starts with http:// or https://',
  ipv4: 'an IP number, for example 10.0.0.1',
};

function stringText({ pattern, format, enum: values, minLength }: SchemaNode): string {
  if (values) return values.map((value) => `"${value}"`).join(', ');
  if (format !== undefined) return FORMAT_TEXTS[format] ?? format;
  if (pattern !== undefined) {
    const expression = new RegExp(pattern);
    const match = PATTERN_TEXTS.find(
      ([sample, counterexample]) => expression.test(sample) && !expression.test(counterexample),
    );
    return match?.[2] ?? pattern;
  }
  return minLength === undefined ? 'a string' : 'a non-empty string';
}

/** Describes the allowed values of a setting in words. */
export function allowedText(node: SchemaNode): string {
  const { type, minimum, maximum, properties, items } = node;
  if (type === 'integer') return `a whole number from ${minimum ?? ''} to ${maximum ?? ''}`;
  if (type === 'number') return `a number from ${minimum ?? ''} to ${maximum ?? ''}`;
  if (type === 'boolean') return 'true or false';
  if (type === 'array') return `a list of items, each ${items ? allowedText(items) : ''}`;
  if (type === 'object') return `an object of ${Object.keys(properties ?? {}).join(', ')}`;
  return stringText(node);
}
